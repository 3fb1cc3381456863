#include "traffic/exchange.h"

#include "http/response_reader.h"
#include "traffic/caller_reader.h"
#include "traffic/message_framing.h"
#include "traffic/request_log.h"
#include "traffic/spill.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;
using upstream_parser = http::response_parser<beast::http::buffer_body>;

constexpr std::uint32_t max_answer_header_bytes = 64U * 1024;
constexpr std::chrono::seconds caller_write_timeout{30};
/// If the connection may be dead, a repeatable request waits for its response for the remaining
/// time divided by this before it is retried on another connection.
constexpr int early_retry_divisor = 3;
/// A new connection may be dead if its response takes longer than the service's slowest recent
/// response time multiplied by this.
constexpr double slowest_response_factor = 3;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_wrong_target = 421;

std::chrono::milliseconds time_left(const caller_request& request)
{
    const auto left = request.deadline - clock::now();
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                    std::chrono::milliseconds{0});
}

template <class Parser> std::optional<std::uint64_t> length_of(const Parser& parser)
{
    const auto length = parser.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

beast::http::request<beast::http::buffer_body> make_head(const worker& w, const slot& used,
                                                         const caller_request& request)
{
    beast::http::request<beast::http::buffer_body> head;
    head.base() = request.parser->get().base();
    remove_connection_fields(head, *w.context.profile);
    head.version(11);
    head.erase(spill_header);
    if (used.is_spill) {
        head.set(spill_header, spill_signature(w, request.service, request.parser->get()));
    }
    const auto& profile = *w.context.profile;
    head.set(profile.deadline_header, std::to_string(time_left(request).count()));
    if (used.checks_identity) {
        head.set(profile.expected_target_header, used.target.value);
    }
    auto size = body_size_of(request.parser->get(), length_of(*request.parser));
    if (request.body_is_complete && size.has_body) {
        size.bytes = request.body.size();
    }
    set_framing(head, size);
    return head;
}

/// Sends the header and the body. The part of the body that is not buffered is streamed from the
/// caller.
asio::awaitable<void> send_request(worker& w, const slot& used, upstream_connection& upstream,
                                   caller_request& request, error_code& problem)
{
    auto head = make_head(w, used, request);
    pacing rate{used.bytes_per_second};
    co_await pace(w, rate, request.body.size());
    std::string piece;
    head.body().data = request.body.data();
    head.body().size = request.body.size();
    head.body().more = !request.body_is_complete;
    beast::http::request_serializer<beast::http::buffer_body> serializer(head);
    co_await beast::http::async_write(upstream.stream, serializer, redirect_error_to(problem));
    bool more = head.body().more;
    if (more) {
        piece.resize(body_piece_bytes);
    }
    while (more && (!problem || problem == beast::http::error::need_buffer)) {
        auto& source = request.parser->get().body();
        source.data = piece.data();
        source.size = piece.size();
        const read_timeout limit(*request.caller, body_read_timeout(request));
        co_await beast::http::async_read(request.caller->stream, request.caller->buffer,
                                         *request.parser, redirect_error_to(problem));
        limit.translate(problem);
        if (problem && problem != beast::http::error::need_buffer) {
            co_return;
        }
        more = !request.parser->is_done();
        co_await pace(w, rate, piece.size() - source.size);
        head.body().data = piece.data();
        head.body().size = piece.size() - source.size;
        head.body().more = more;
        co_await beast::http::async_write(upstream.stream, serializer, redirect_error_to(problem));
    }
    if (problem == beast::http::error::need_buffer) {
        problem = {};
    }
}

/// Reads one piece of the response body into `piece`; returns its size.
asio::awaitable<std::size_t> read_piece(upstream_connection& upstream, upstream_parser& parser,
                                        std::string& piece, error_code& problem)
{
    auto& body = parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    co_await beast::http::async_read(upstream.stream, upstream.buffer, parser,
                                     redirect_error_to(problem));
    if (problem == beast::http::error::need_buffer) {
        problem = {};
    }
    co_return piece.size() - body.size;
}

/// Whether the caller's connection stays open after this response. Evaluated just before the
/// response header is sent, to take account of requests that were read in the meantime.
bool should_keep_alive(const worker& w, const caller_request& request)
{
    const bool wants_close =
        !request.keep_alive || w.stopping || (w.snapshot && w.snapshot->leaving);
    return !wants_close || !is_last(*request.caller, request.turn);
}

void prepare_response(const worker& w, caller_request& request, upstream_parser& parser)
{
    auto& answer = parser.get();
    remove_connection_fields(answer, *w.context.profile);
    const bool can_keep = set_framing(answer, request.parser->get(), length_of(parser));
    answer.version(11);
    if (w.context.profile->reports_outcome) {
        answer.set(outcome_header, name_of(outcome::ran));
        answer.set(result_header, "0");
        answer.set(host_header, w.context.host.value);
    }
    request.keep_alive = can_keep && should_keep_alive(w, request);
    request.caller->closing = request.caller->closing || !request.keep_alive;
    answer.keep_alive(request.keep_alive);
}

/// The result of an attempt that failed before any part of a response was relayed.
forward_result lost_result(const caller_request& request, result_code code)
{
    return {code, outcome::unknown, false, request.body_is_complete || request.parser->is_done(),
            std::nullopt};
}

forward_result not_run_result(const caller_request& request, result_code code)
{
    auto end = lost_result(request, code);
    end.request_outcome = outcome::not_run;
    return end;
}

/// Closes the caller's connection in the middle of a response, without a proper end of the body, so
/// that the caller detects the truncation. A body that ends with the connection needs a reset.
void break_off(beast::tcp_stream& caller, const beast::http::response_header<>& answer)
{
    if (answer.count(beast::http::field::content_length) == 0 &&
        answer.count(beast::http::field::transfer_encoding) == 0) {
        error_code ignored;
        caller.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    caller.close();
}

/// Sends the response header and `size` bytes of its body, then streams the rest. If the target's
/// body is truncated, so is the caller's.
asio::awaitable<void> stream_response(caller_request& request, upstream_connection& upstream,
                                      upstream_parser& parser, std::string& piece, std::size_t size,
                                      pacing rate, worker& w, forward_result& end)
{
    beast::http::response_serializer<beast::http::buffer_body> serializer(parser.get());
    auto& caller = request.caller->stream;
    while (true) {
        error_code problem;
        co_await pace(w, rate, size);
        auto& body = parser.get().body();
        body.data = size == 0 ? nullptr : piece.data();
        body.size = size;
        body.more = !parser.is_done();
        caller.expires_after(caller_write_timeout);
        co_await beast::http::async_write(caller, serializer, redirect_error_to(problem));
        if (problem && problem != beast::http::error::need_buffer) {
            end.code = result_code::caller_gone;
            end.caller_usable = false;
            co_return;
        }
        if (parser.is_done()) {
            end.caller_usable = request.keep_alive;
            co_return;
        }
        problem = {};
        upstream.stream.expires_at(request.deadline);
        size = co_await read_piece(upstream, parser, piece, problem);
        if (problem) {
            break_off(caller, parser.get());
            end.code = result_code::target_answer_lost;
            end.request_outcome = outcome::unknown;
            end.caller_usable = false;
            co_return;
        }
    }
}

/// Relays the response. The first piece of the body, which is all of it for most responses, is read
/// before anything is sent to the caller.
asio::awaitable<forward_result> relay_response(worker& w, caller_request& request, const slot& used,
                                               upstream_connection& upstream,
                                               upstream_parser& parser)
{
    const auto length = parser.content_length().value_or(body_piece_bytes);
    std::string piece(std::min<std::uint64_t>(length, body_piece_bytes), '\0');
    // The parser would add the trailers behind a body in chunks to the header.
    const auto header = parser.chunked() ? std::optional(parser.get().base()) : std::nullopt;
    error_code problem;
    std::size_t size = 0;
    while (!parser.is_done() && size < piece.size() && !problem) {
        auto& body = parser.get().body();
        body.data = piece.data() + size;
        body.size = piece.size() - size;
        co_await beast::http::async_read(upstream.stream, upstream.buffer, parser,
                                         redirect_error_to(problem));
        size = piece.size() - body.size;
        if (problem == beast::http::error::need_buffer) {
            problem = {};
            break;
        }
    }
    if (problem) {
        co_return lost_result(request, result_code::target_answer_lost);
    }
    if (header) {
        parser.get().base() = *header;
    }
    const bool is_due = co_await wait_for_turn(*request.caller, request.turn);
    if (!is_due) {
        co_return forward_result{result_code::caller_gone, outcome::ran, false, false, {}};
    }
    forward_result end{result_code::ok, outcome::ran, true, true, std::nullopt};
    if (!request.repeatable && parser.is_done() && w.context.profile->claims_non_idempotent) {
        end.stored = stored_response{parser.get().result_int(),
                                     std::string(parser.get()[beast::http::field::content_type]),
                                     piece.substr(0, size)};
    }
    if (request.rule != nullptr) {
        const auto bytes = parser.content_length().value_or(size);
        note_response_size(w.routes[request.rule->id], static_cast<double>(bytes));
    }
    prepare_response(w, request, parser);
    co_await stream_response(request, upstream, parser, piece, size, pacing{used.bytes_per_second},
                             w, end);
    co_return end;
}

/// Why the target did not run the request, or ok if it may have run.
result_code not_run_code(const worker& w, const slot& used, const upstream_parser& parser)
{
    const auto& answer = parser.get();
    const auto& profile = *w.context.profile;
    if (used.is_spill) {
        return answer[outcome_header] == name_of(outcome::not_run) ? result_code::target_shed
                                                                   : result_code::ok;
    }
    if (used.checks_identity && answer.result_int() == status_wrong_target) {
        return result_code::target_replaced;
    }
    const bool has_not_run_header =
        !profile.not_run_header.empty() && answer.find(profile.not_run_header) != answer.end();
    const bool is_shed_status =
        used.sheds_unrun && answer.result() == beast::http::status::service_unavailable;
    return has_not_run_header || is_shed_status ? result_code::target_shed : result_code::ok;
}

result_code code_of_failure(const error_code& problem)
{
    const bool is_http =
        problem.category() == make_error_code(beast::http::error::bad_version).category() &&
        problem != beast::http::error::end_of_stream &&
        problem != beast::http::error::partial_message;
    if (is_http) {
        return result_code::target_answer_malformed;
    }
    return problem == beast::error::timeout ? result_code::deadline_passed
                                            : result_code::target_answer_lost;
}

/// Whether a response that has not arrived after a waiting time of `part` most likely never will. A
/// reused connection may have died before the request was sent. A new one may die while waiting,
/// which can be detected only if the service's responses usually arrive much sooner.
bool is_likely_lost(const worker& w, const caller_request& request, const upstream_connection& used,
                    clock::duration part)
{
    if (used.reused) {
        return true;
    }
    const auto slowest = w.slowest_response_ms.find(request.service);
    return slowest != w.slowest_response_ms.end() &&
           std::chrono::duration<double, std::milli>(slowest->second * slowest_response_factor) <
               part;
}

/// The deadline for the response header. Requests with a route rule wait until their deadline:
/// connections that leave data unacknowledged are closed anyway, and abandoning running work would
/// cost the caller more. Only one attempt of a request is abandoned early, because a request that
/// makes targets hang occupies a slot of each of them.
clock::time_point response_deadline(const worker& w, const caller_request& request,
                                    const upstream_connection& used)
{
    if (request.rule != nullptr || !request.can_retry || request.abandoned_target) {
        return request.deadline;
    }
    const auto now = clock::now();
    const auto part = (request.deadline - now) / early_retry_divisor;
    return is_likely_lost(w, request, used, part) ? now + part : request.deadline;
}

/// Whether the response carries the ID of another request.
bool belongs_to_other_request(const worker& w, const caller_request& request,
                              const upstream_parser& parser)
{
    const auto name = w.context.profile->request_id_header;
    return !name.empty() && !request.id.empty() && parser.get()[name] != request.id;
}

/// The idle timeout that a target announces in its Keep-Alive header as "timeout=N" in seconds; 0
/// if it announces none.
std::chrono::milliseconds idle_timeout_of(const upstream_parser& parser)
{
    constexpr std::string_view key = "timeout=";
    const std::string text(parser.get()[beast::http::field::keep_alive]);
    const auto at = text.find(key);
    unsigned seconds = 0;
    if (at != std::string::npos) {
        const auto* first = text.data() + at + key.size();
        std::from_chars(first, text.data() + text.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

/// The value of a header that must occur once; empty if it occurs several times, nothing if it is
/// absent.
std::optional<std::string_view> single_value(const upstream_parser& parser, std::string_view name)
{
    const auto [first, last] = parser.get().equal_range(name);
    if (name.empty() || first == last) {
        return std::nullopt;
    }
    const auto text = first->value();
    return std::next(first) == last ? std::string_view(text.data(), text.size())
                                    : std::string_view();
}

/// What the target states about itself in this response.
stated_values statements_in(const wire_profile& profile, const upstream_parser& parser)
{
    constexpr std::string_view pause_header = "Retry-After";
    stated_values values;
    if (const auto text = single_value(parser, profile.limit_header)) {
        values.limit = parse_limit(*text);
        values.malformed = values.limit ? values.malformed : profile.limit_header;
    }
    if (const auto text = single_value(parser, profile.leaving_header)) {
        values.is_leaving = *text == "1";
        values.malformed = values.is_leaving ? values.malformed : profile.leaving_header;
    }
    const bool is_refusal = parser.get().result() == beast::http::status::service_unavailable;
    if (const auto text = single_value(parser, pause_header); text && is_refusal) {
        values.pause = parse_pause(*text);
        values.malformed = values.pause ? values.malformed : pause_header;
    }
    return values;
}

/// Records what the target states about itself. An answer of another target at its address says
/// nothing about it.
void note_statements(worker& w, const slot& used, const upstream_parser& parser,
                     clock::time_point sent)
{
    if (used.is_spill ||
        (used.checks_identity && parser.get().result_int() == status_wrong_target)) {
        return;
    }
    const auto now = clock::now();
    const auto values = statements_in(*w.context.profile, parser);
    const auto changed = w.context.statements->note(used.target, used.life, values, sent, now);
    if (changed || !values.malformed.empty()) {
        log_statement(w, used.target, used.life, changed, values.malformed);
    }
}

asio::awaitable<forward_result> handle_response(worker& w, caller_request& request,
                                                const slot& used, upstream_connection& upstream,
                                                upstream_parser& parser, clock::time_point sent)
{
    if (belongs_to_other_request(w, request, parser)) {
        co_return lost_result(request, result_code::target_answer_malformed);
    }
    note_statements(w, used, parser, sent);
    const auto& answer = parser.get();
    if (const auto name = w.context.profile->load_header; !name.empty()) {
        const auto report = answer[name];
        note_report(w.loads[used.target], {report.data(), report.size()}, clock::now());
    }
    if (used.is_spill && answer[outcome_header] == name_of(outcome::unknown)) {
        co_return lost_result(request, result_code::target_answer_lost);
    }
    if (const auto unrun = not_run_code(w, used, parser); unrun != result_code::ok) {
        co_return not_run_result(request, unrun);
    }
    if (request.can_retry && answer.result_int() >= first_server_error) {
        co_return lost_result(request, result_code::target_failed);
    }
    upstream.stream.expires_at(request.deadline);
    co_return co_await relay_response(w, request, used, upstream, parser);
}

} // namespace

asio::awaitable<forward_result> exchange(worker& w, caller_request& request, const slot& used,
                                         connection_ptr upstream)
{
    error_code problem;
    const auto sent = clock::now();
    request.upstream = upstream;
    const auto header_deadline = response_deadline(w, request, *upstream);
    upstream->stream.expires_at(header_deadline);
    co_await send_request(w, used, *upstream, request, problem);
    std::optional<upstream_parser> parser;
    if (!problem) {
        const auto configure = [&request](upstream_parser& p) {
            p.header_limit(max_answer_header_bytes);
            p.body_limit(boost::none);
            p.skip(request.parser->get().method() == beast::http::verb::head);
        };
        co_await http::read_response_header(upstream->stream, upstream->buffer, parser, configure,
                                            problem);
    }
    if (request.caller->gone && request.repeatable) {
        request.upstream.reset();
        co_return forward_result{result_code::caller_gone, outcome::unknown, false, false, {}};
    }
    if (problem) {
        request.upstream.reset();
        if (header_deadline != request.deadline) {
            request.abandoned_target = used.target;
        }
        co_return lost_result(request, code_of_failure(problem));
    }
    const bool target_keeps_alive = parser->keep_alive();
    upstream->idle_timeout = idle_timeout_of(*parser);
    auto end = co_await handle_response(w, request, used, *upstream, *parser, sent);
    request.upstream.reset();
    if (target_keeps_alive && parser->is_done()) {
        put_idle(w.upstreams, used.address, upstream);
    }
    co_return end;
}

} // namespace almondquay
