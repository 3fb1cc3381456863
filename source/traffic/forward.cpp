#include "traffic/forward.h"

#include "traffic/spill.h"

#include <algorithm>
#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;
using upstream_parser = beast::http::response_parser<beast::http::buffer_body>;

constexpr unsigned max_attempts = 3;
constexpr std::uint32_t max_answer_header_bytes = 64U * 1024;
constexpr std::chrono::seconds caller_write_timeout{30};
constexpr std::chrono::seconds caller_read_timeout{30};
/// A repeatable request on a kept connection gets this part of its time before it is tried on a
/// new one, since the kept one may have gone silent.
constexpr int reused_connection_part = 3;
constexpr std::chrono::milliseconds longest_slot_wait{2'000};

constexpr auto hop_by_hop = std::to_array<beast::http::field>({
    beast::http::field::connection,
    beast::http::field::keep_alive,
    beast::http::field::proxy_authenticate,
    beast::http::field::proxy_authorization,
    beast::http::field::proxy_connection,
    beast::http::field::te,
    beast::http::field::trailer,
    beast::http::field::upgrade,
    beast::http::field::expect,
});

/// Gives the slot back when the attempt ends, however it ends.
struct slot_guard {
    slot_guard(slot_pool& p, slot s) : pool(&p), held(std::move(s)) {}
    ~slot_guard() { pool->give_back(held); }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

    slot_pool* pool;
    slot held;
};

/// For repeatable requests only: other work runs to its end, so that a caller that asks again
/// gets the first answer. Notices that the caller has closed its connection while the target works,
/// and carries the cancellation on by closing the connection to the target.
struct caller_watch {
    connection_ptr upstream;
    bool caller_gone = false;
    bool done = false;
};

void watch_caller(caller_connection& caller, const std::shared_ptr<caller_watch>& watch)
{
    auto& socket = caller.stream.socket();
    const auto descriptor = socket.native_handle();
    socket.async_wait(tcp::socket::wait_read, [watch, descriptor](const error_code& problem) {
        if (problem || watch->done) {
            return;
        }
        char byte = 0;
        const auto got = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool is_gone = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (is_gone) {
            watch->caller_gone = true;
            watch->upstream->stream.close();
        }
    });
}

asio::awaitable<std::optional<slot>> wait_for_slot(worker& w, const caller_request& request,
                                                   const std::vector<target_id>& excluded,
                                                   result_code& code)
{
    auto taken = w.context.slots->try_take(request.service, excluded, !request.is_spilled);
    if (taken) {
        co_return taken;
    }
    const auto latest = std::min(request.deadline, clock::now() + longest_slot_wait);
    const auto signal = std::make_shared<asio::steady_timer>(w.io, latest);
    slot_waiter waiter;
    waiter.excluded = excluded;
    waiter.may_spill = !request.is_spilled;
    waiter.wake = [&io = w.io, signal] { asio::post(io, [signal] { signal->cancel(); }); };
    code = w.context.slots->has_usable_target(request.service) ? result_code::no_free_slot
                                                               : result_code::no_live_target;
    if (!w.context.slots->enqueue(request.service, waiter)) {
        co_return std::nullopt;
    }
    if (!waiter.granted) {
        error_code ignored;
        co_await signal->async_wait(into(ignored));
        w.context.slots->cancel(request.service, waiter);
    }
    co_return std::move(waiter.granted);
}

template <bool is_request>
void strip_hop_by_hop(beast::http::header<is_request, beast::http::fields>& head)
{
    for (const auto field : hop_by_hop) {
        head.erase(field);
    }
}

std::chrono::milliseconds time_left(const caller_request& request)
{
    const auto left = request.deadline - clock::now();
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                    std::chrono::milliseconds{0});
}

beast::http::request<beast::http::buffer_body> make_head(const worker& w, const slot& used,
                                                         const caller_request& request)
{
    beast::http::request<beast::http::buffer_body> head;
    head.base() = request.parser->get().base();
    strip_hop_by_hop(head.base());
    head.version(11);
    head.erase(spill_header);
    if (used.is_spill) {
        head.set(spill_header, spill_proof(w, request.service, request.parser->get()));
    }
    head.set(deadline_header, std::to_string(time_left(request).count()));
    if (request.body_is_complete && head.chunked()) {
        head.chunked(false);
        head.content_length(request.body.size());
    }
    return head;
}

/// Sends the header and the body, reading what is not in memory from the caller piece by piece.
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
    co_await beast::http::async_write(upstream.stream, serializer, into(problem));
    bool more = head.body().more;
    if (more) {
        piece.resize(body_piece_bytes);
    }
    while (more && (!problem || problem == beast::http::error::need_buffer)) {
        auto& source = request.parser->get().body();
        source.data = piece.data();
        source.size = piece.size();
        request.caller->stream.expires_after(caller_read_timeout);
        co_await beast::http::async_read(request.caller->stream, request.caller->buffer,
                                         *request.parser, into(problem));
        if (problem && problem != beast::http::error::need_buffer) {
            co_return;
        }
        more = !request.parser->is_done();
        co_await pace(w, rate, piece.size() - source.size);
        head.body().data = piece.data();
        head.body().size = piece.size() - source.size;
        head.body().more = more;
        co_await beast::http::async_write(upstream.stream, serializer, into(problem));
    }
    if (problem == beast::http::error::need_buffer) {
        problem = {};
    }
}

/// Reads one piece of the answer's body into `piece`; returns its size.
asio::awaitable<std::size_t> read_piece(upstream_connection& upstream, upstream_parser& parser,
                                        std::string& piece, error_code& problem)
{
    auto& body = parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    co_await beast::http::async_read(upstream.stream, upstream.buffer, parser, into(problem));
    if (problem == beast::http::error::need_buffer) {
        problem = {};
    }
    co_return piece.size() - body.size;
}

void prepare_answer(const worker& w, const caller_request& request, upstream_parser& parser,
                    bool ends_with_close)
{
    auto& answer = parser.get();
    strip_hop_by_hop(answer.base());
    answer.version(11);
    answer.set(outcome_header, name_of(outcome::ran));
    answer.set(result_header, "0");
    answer.set(host_header, w.context.host.value);
    answer.keep_alive(request.keep_alive && !ends_with_close);
}

/// Passes the answer on piece by piece. A body that is cut short on the way in is cut short on
/// the way out: the caller's connection is closed instead of ended as if whole.
asio::awaitable<forward_end> pass_answer(worker& w, caller_request& request, const slot& used,
                                         upstream_connection& upstream, upstream_parser& parser)
{
    forward_end end{result_code::ok, outcome::ran, true, true, std::nullopt};
    const bool ends_with_close = parser.need_eof() && !parser.is_done();
    std::string piece(body_piece_bytes, '\0');
    pacing rate{used.bytes_per_second};
    error_code problem;
    std::size_t size = 0;
    if (!parser.is_done()) {
        size = co_await read_piece(upstream, parser, piece, problem);
        if (problem) {
            end.answered = false;
            end.code = result_code::target_answer_lost;
            end.what = outcome::unknown;
            co_return end;
        }
    }
    prepare_answer(w, request, parser, ends_with_close);
    beast::http::response_serializer<beast::http::buffer_body> serializer(parser.get());
    if (!request.repeatable && parser.is_done()) {
        end.kept = kept_answer{parser.get().result_int(),
                               std::string(parser.get()[beast::http::field::content_type]),
                               piece.substr(0, size)};
    }
    auto& caller = request.caller->stream;
    while (true) {
        co_await pace(w, rate, size);
        auto& body = parser.get().body();
        body.data = size == 0 ? nullptr : piece.data();
        body.size = size;
        body.more = !parser.is_done();
        caller.expires_after(caller_write_timeout);
        co_await beast::http::async_write(caller, serializer, into(problem));
        if (problem && problem != beast::http::error::need_buffer) {
            end.code = result_code::caller_gone;
            end.caller_usable = false;
            co_return end;
        }
        if (parser.is_done()) {
            end.caller_usable = request.keep_alive && !ends_with_close;
            co_return end;
        }
        problem = {};
        upstream.stream.expires_at(request.deadline);
        size = co_await read_piece(upstream, parser, piece, problem);
        if (problem) {
            caller.close();
            end.code = result_code::target_answer_lost;
            end.what = outcome::unknown;
            end.caller_usable = false;
            co_return end;
        }
    }
}

bool was_shed_unrun(const slot& used, const upstream_parser& parser)
{
    if (used.is_spill) {
        return parser.get()[outcome_header] == name_of(outcome::not_run);
    }
    return used.sheds_unrun && parser.get().result() == beast::http::status::service_unavailable;
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

clock::time_point answer_deadline(const caller_request& request, const upstream_connection& used)
{
    const bool may_move = used.reused && request.repeatable && request.body_is_complete;
    if (!may_move) {
        return request.deadline;
    }
    const auto now = clock::now();
    return now + (request.deadline - now) / reused_connection_part;
}

/// Sends the request on a connection and waits for the answer's header, then passes it on.
asio::awaitable<forward_end> exchange(worker& w, caller_request& request, const slot& used,
                                      connection_ptr upstream)
{
    error_code problem;
    upstream->stream.expires_at(answer_deadline(request, *upstream));
    co_await send_request(w, used, *upstream, request, problem);
    upstream_parser parser;
    parser.header_limit(max_answer_header_bytes);
    parser.body_limit(boost::none);
    parser.skip(request.parser->get().method() == beast::http::verb::head);
    const auto watch = std::make_shared<caller_watch>();
    watch->upstream = upstream;
    if (!problem && request.repeatable) {
        watch_caller(*request.caller, watch);
        co_await beast::http::async_read_header(upstream->stream, upstream->buffer, parser,
                                                into(problem));
    }
    watch->done = true;
    error_code ignored;
    request.caller->stream.socket().cancel(ignored);
    if (watch->caller_gone) {
        co_return forward_end{result_code::caller_gone, outcome::unknown, false, false, {}};
    }
    if (problem) {
        co_return forward_end{code_of_failure(problem),
                              outcome::unknown,
                              false,
                              request.body_is_complete || request.parser->is_done(),
                              {}};
    }
    const bool peer_cannot_tell =
        used.is_spill && parser.get()[outcome_header] == name_of(outcome::unknown);
    if (peer_cannot_tell) {
        co_return forward_end{result_code::target_answer_lost,
                              outcome::unknown,
                              false,
                              request.body_is_complete || request.parser->is_done(),
                              {}};
    }
    if (was_shed_unrun(used, parser)) {
        co_return forward_end{result_code::target_shed,
                              outcome::not_run,
                              false,
                              request.body_is_complete || request.parser->is_done(),
                              {}};
    }
    upstream->stream.expires_at(request.deadline);
    const bool target_keeps = parser.keep_alive();
    auto end = co_await pass_answer(w, request, used, *upstream, parser);
    if (end.code == result_code::ok && target_keeps) {
        keep(w.upstreams, used.address, upstream);
    }
    co_return end;
}

std::string describe(const caller_request& request)
{
    const auto& head = request.parser->get();
    constexpr std::size_t longest_path = 80;
    return request.service + " " + std::string(head.method_string()) + " " +
           std::string(head.target()).substr(0, longest_path);
}

/// A connection that ends without an answer may be a target that crashed of this request, or a
/// kept connection that the target closed just then. A suspect that is served is cleared.
void note_suspicion(worker& w, const caller_request& request, const slot& used,
                    const forward_end& end)
{
    if (end.code == result_code::target_answer_lost) {
        w.suspects.insert(request.fingerprint);
        w.context.events.crash({request.fingerprint, describe(request), used.target});
    } else if (end.what == outcome::ran && w.suspects.erase(request.fingerprint) != 0) {
        w.context.events.cleared(request.fingerprint);
    }
}

asio::awaitable<forward_end> attempt(worker& w, caller_request& request, const slot& used)
{
    // Work that must not repeat never goes out on a kept connection, where a close by the other
    // end would leave its outcome unknown.
    auto upstream = request.repeatable ? take_idle(w.upstreams, used.address) : nullptr;
    if (!upstream) {
        error_code problem;
        upstream = co_await connect(w.upstreams, used.address, request.deadline, problem);
        if (problem) {
            if (!used.is_spill) {
                report_target(w, used.target, target_evidence::connect_failed);
            }
            co_return forward_end{
                result_code::target_unreachable, outcome::not_run, false, true, {}};
        }
    }
    const bool reused = upstream->reused;
    const auto end = co_await exchange(w, request, used, upstream);
    if (used.is_spill) {
        co_return end; // The receiving host judges its own targets.
    }
    note_suspicion(w, request, used, end);
    const bool is_target_failure = end.code == result_code::target_answer_lost ||
                                   end.code == result_code::target_answer_malformed ||
                                   end.code == result_code::deadline_passed;
    if (is_target_failure) {
        drop_idle(w.upstreams, used.address);
    }
    if (is_target_failure && !reused) {
        report_target(w, used.target, target_evidence::answer_lost);
    } else if (end.what == outcome::ran) {
        report_target(w, used.target, target_evidence::served);
    }
    co_return end;
}

bool may_retry(const caller_request& request, const forward_end& end)
{
    const bool can_resend = request.body_is_complete && end.caller_usable && !end.answered;
    const bool is_safe = end.what == outcome::not_run || request.repeatable;
    return can_resend && is_safe && end.code != result_code::caller_gone &&
           clock::now() < request.deadline;
}

/// The end of all attempts so far: what an earlier one may have done is not undone by a later one
/// that did not run.
forward_end join_ends(const forward_end& before, const forward_end& latest)
{
    auto end = latest;
    if (before.what == outcome::unknown && latest.what == outcome::not_run) {
        end.code = before.code;
        end.what = outcome::unknown;
    }
    return end;
}

} // namespace

asio::awaitable<forward_end> forward(worker& w, caller_request& request)
{
    auto& budget = w.budgets[request.service];
    note_request(budget);
    std::vector<target_id> excluded;
    forward_end end{result_code::no_live_target, outcome::not_run, false, true, {}};
    for (unsigned tries = 0; tries < max_attempts; ++tries) {
        if (tries != 0 && !take_retry(budget)) {
            break;
        }
        auto code = result_code::ok;
        auto taken = co_await wait_for_slot(w, request, excluded, code);
        if (!taken) {
            if (tries == 0) {
                end.code = code;
            }
            break;
        }
        const slot_guard guard(*w.context.slots, std::move(*taken));
        const auto tried = co_await attempt(w, request, guard.held);
        end = join_ends(end, tried);
        if (end.code == result_code::ok || !may_retry(request, end)) {
            break;
        }
        // A failed kept connection says little about its target, so that one may be tried again.
        if (tried.what == outcome::not_run) {
            excluded.push_back(guard.held.target);
        }
    }
    co_return end;
}

} // namespace almondquay
