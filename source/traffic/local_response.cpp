#include "traffic/local_response.h"

#include "traffic/outcome.h"

#include <array>
#include <cstdio>

namespace almondquay {

namespace {

/// Retry-After of a refusal if no better estimate is available.
constexpr std::chrono::milliseconds default_retry_after{300};
constexpr double ms_per_second = 1'000;
constexpr std::chrono::seconds write_timeout{30};

std::string seconds_text(std::chrono::milliseconds time)
{
    std::array<char, 32> text{};
    const auto size = std::snprintf(text.data(), text.size(), "%.3f",
                                    static_cast<double>(time.count()) / ms_per_second);
    return {text.data(), static_cast<std::size_t>(size)};
}

local_response make_refusal(const worker& w, result_code code, outcome request_outcome,
                            std::chrono::milliseconds retry_after)
{
    local_response answer;
    answer.version(11);
    answer.result(status_of(code));
    answer.set(beast::http::field::content_type, "application/json");
    if (w.context.profile->reports_outcome) {
        answer.set(outcome_header, name_of(request_outcome));
        answer.set(result_header, std::to_string(static_cast<int>(code)));
        answer.set(host_header, w.context.host.value);
    }
    if (answer.result() == beast::http::status::service_unavailable) {
        const auto time = retry_after.count() != 0 ? retry_after : default_retry_after;
        answer.set(beast::http::field::retry_after, seconds_text(time));
    }
    if (code == result_code::method_not_allowed) {
        answer.set(beast::http::field::allow, "GET");
    }
    answer.body() = refusal_body(code, request_outcome);
    return answer;
}

} // namespace

asio::awaitable<void> send_local_response(worker& w, caller_connection& connection,
                                          std::uint64_t turn, local_response& answer,
                                          bool keep_alive, bool is_head)
{
    const bool is_due = co_await wait_for_turn(connection, turn);
    if (!is_due) {
        co_return;
    }
    const bool is_ending = w.stopping || (w.snapshot && w.snapshot->leaving);
    const bool closes = !keep_alive || (is_ending && is_last(connection, turn));
    connection.closing = connection.closing || closes;
    answer.keep_alive(!closes);
    answer.prepare_payload();
    if (is_head) {
        answer.body().clear(); // The header states the length that the body would have.
    }
    connection.stream.expires_after(write_timeout);
    error_code problem;
    co_await beast::http::async_write(connection.stream, answer, redirect_error_to(problem));
    if (problem) {
        mark_gone(connection);
    }
}

asio::awaitable<void> refuse(worker& w, caller_connection& connection, std::uint64_t turn,
                             const forward_result& end, bool keep_alive)
{
    auto refusal = make_refusal(w, end.code, end.request_outcome, end.retry_after);
    co_await send_local_response(w, connection, turn, refusal, keep_alive);
}

asio::awaitable<void> refuse_host_request(worker& w, caller_connection& connection,
                                          std::uint64_t turn, const caller_parser& parser,
                                          result_code code, bool keep_alive)
{
    auto refusal = make_refusal(w, code, outcome::not_run, std::chrono::milliseconds{0});
    const bool is_head = parser.get().method() == beast::http::verb::head;
    co_await send_local_response(w, connection, turn, refusal, keep_alive, is_head);
}

forward_result refused_result(result_code code)
{
    return {code, outcome::not_run, false, true, std::nullopt};
}

asio::awaitable<void> replay(worker& w, caller_connection& connection, std::uint64_t turn,
                             claim_answer stored, bool keep_alive)
{
    local_response answer;
    answer.version(11);
    answer.result(stored.status);
    answer.set(beast::http::field::content_type, stored.content_type);
    answer.set(outcome_header, name_of(outcome::ran));
    answer.set(result_header, "0");
    answer.set(replayed_header, "yes");
    answer.set(host_header, w.context.host.value);
    answer.body() = std::move(stored.body);
    co_await send_local_response(w, connection, turn, answer, keep_alive);
}

} // namespace almondquay
