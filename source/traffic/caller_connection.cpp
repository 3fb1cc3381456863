#include "traffic/caller_connection.h"

namespace almondquay {

asio::awaitable<void> wait_for_change(caller_connection& connection)
{
    error_code ignored;
    co_await connection.changed.async_wait(redirect_error_to(ignored));
}

asio::awaitable<bool> wait_for_turn(caller_connection& connection, std::uint64_t turn)
{
    while (connection.current_turn != turn && !connection.gone) {
        co_await wait_for_change(connection);
    }
    co_return !connection.gone;
}

void end_turn(caller_connection& connection)
{
    ++connection.current_turn;
    connection.changed.cancel();
}

bool has_unread_data(caller_connection& connection)
{
    error_code problem;
    return connection.stream.socket().available(problem) != 0 && !problem;
}

bool is_last(const caller_connection& connection, std::uint64_t turn)
{
    return connection.next_turn == turn + 1;
}

void mark_gone(caller_connection& connection)
{
    connection.gone = true;
    for (auto& request : connection.requests) {
        if (request.repeatable && request.upstream) {
            request.upstream->stream.close();
        }
    }
    connection.changed.cancel();
}

void reset_connection(caller_connection& connection)
{
    connection.closing = true;
    mark_gone(connection);
    error_code ignored;
    connection.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    connection.stream.close();
}

} // namespace almondquay
