#pragma once

#include "traffic/beast_types.h"
#include "traffic/upstream_pool.h"

#include <cstdint>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

/// One caller's connection. Requests that were sent one behind the other run at the same time;
/// their answers go out in the order of the requests.
namespace almondquay {

/// What a connection knows of a request that runs for it.
struct running_work
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    bool repeatable = false;
    connection_ptr upstream; ///< that carries it now
};

/// Bytes of requests that are held while they are understood; more than any header limit.
constexpr std::size_t max_caller_buffer_bytes = 256 * 1024;

struct caller_connection : boost::intrusive::list_base_hook<> {
    explicit caller_connection(tcp::socket socket)
        : stream(std::move(socket)),
          changed(stream.get_executor(), asio::steady_timer::time_point::max())
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_caller_buffer_bytes};
    asio::steady_timer changed;  ///< cancelled whenever something below changes
    std::uint64_t next_turn = 0; ///< of the next request that is read
    std::uint64_t answering = 0; ///< the turn whose answer is due
    bool closing = false; ///< no further request is taken; what was read behind is sent again
    bool gone = false;    ///< the caller has closed it, or it cannot be used any more
    boost::intrusive::list<running_work, boost::intrusive::constant_time_size<false>> requests;

    bool is_busy() const { return answering != next_turn; }
};

/// Waits until the answer of `turn` is due. False if the connection cannot carry it any more.
asio::awaitable<bool> wait_for_turn(caller_connection& connection, std::uint64_t turn);

/// Waits until something about the connection changes.
asio::awaitable<void> wait_for_change(caller_connection& connection);

/// The answer of the current turn is out, or none will come; the next one is due.
void end_turn(caller_connection& connection);

/// Whether nothing was read behind this turn, so that its answer may close the connection.
bool is_last(const caller_connection& connection, std::uint64_t turn);

/// The caller has left: ends the repeatable work that runs for it.
void note_gone(caller_connection& connection);

} // namespace almondquay
