#pragma once

#include "traffic/beast_types.h"
#include "traffic/listener.h"
#include "traffic/upstream_pool.h"

#include <cstdint>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

/// A caller's HTTP/1.1 connection. Pipelined requests are processed concurrently; their responses
/// are sent in the order of the requests.
namespace almondquay {

/// The part of an active request that its caller's connection refers to.
struct active_request
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    bool repeatable = false; ///< idempotent, so it may be sent more than once
    connection_ptr upstream; ///< the connection of the current attempt
};

/// Maximum size of the read buffer for requests; larger than any header limit.
constexpr std::size_t max_caller_buffer_bytes = 256 * 1024;

struct caller_connection
    : boost::intrusive::list_base_hook<>,
      boost::intrusive_ref_counter<caller_connection, boost::thread_unsafe_counter> {
    caller_connection(tcp::socket socket, listener_role accepted_by)
        : role(accepted_by), stream(std::move(socket)),
          changed(stream.get_executor(), asio::steady_timer::time_point::max())
    {
    }

    listener_role role; ///< what is served at the address of its listener
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_caller_buffer_bytes};
    asio::steady_timer changed; ///< cancelled to wake waiters when `current_turn` or `gone` changes
    std::uint64_t next_turn = 0;    ///< sequence number of the next request that is read
    std::uint64_t current_turn = 0; ///< sequence number of the request whose response is sent next
    /// No further request is accepted; the caller must resend pipelined ones that were not
    /// answered.
    bool closing = false;
    bool gone = false; ///< closed by the caller or no longer usable
    boost::intrusive::list<active_request, boost::intrusive::constant_time_size<false>> requests;

    bool is_busy() const { return current_turn != next_turn; }
};

using caller_connection_ptr = boost::intrusive_ptr<caller_connection>;

/// Waits until the response to request number `turn` may be sent. Returns false if the connection
/// is no longer usable.
asio::awaitable<bool> wait_for_turn(caller_connection& connection, std::uint64_t turn);

/// Waits until the state of the connection changes.
asio::awaitable<void> wait_for_change(caller_connection& connection);

/// Advances to the next request after the response to the current one has been sent, or if none
/// will be sent.
void end_turn(caller_connection& connection);

/// Whether the caller has sent data that has not been read yet.
bool has_unread_data(caller_connection& connection);

/// Whether this is the last request read so far, so that its response may close the connection.
bool is_last(const caller_connection& connection, std::uint64_t turn);

/// Marks the connection as gone and closes the upstream connections of its repeatable requests.
void mark_gone(caller_connection& connection);

/// Resets the connection, so that the caller takes no response that was under way for complete.
void reset_connection(caller_connection& connection);

} // namespace almondquay
