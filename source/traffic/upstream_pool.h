#pragma once

#include "common/endpoint.h"
#include "traffic/beast_types.h"

#include <chrono>
#include <map>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// One traffic thread's connections to targets. A connection carries one request at a time, and
/// one whose request was abandoned is never used again.
namespace almondquay {

/// Bytes of an answer that are held while they are understood. What is longer, as chunk extensions
/// or trailers without end, is no answer.
constexpr std::size_t max_upstream_buffer_bytes = 128 * 1024;

struct upstream_connection
    : boost::intrusive_ref_counter<upstream_connection, boost::thread_unsafe_counter>,
      boost::intrusive::list_base_hook<> {
    explicit upstream_connection(asio::io_context& io) : stream(io) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_upstream_buffer_bytes};
    std::chrono::steady_clock::time_point idle_since;
    std::chrono::milliseconds idle_limit{0}; ///< that the target has told; 0: none
    bool reused = false;
};

using connection_ptr = boost::intrusive_ptr<upstream_connection>;

struct upstream_pool {
    explicit upstream_pool(asio::io_context& context) : io(&context) {}
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    asio::io_context* io;
    std::map<endpoint, boost::intrusive::list<upstream_connection>> idle;
};

/// Connections kept idle for each target; with the slots in use they stay far below the
/// connections that a target takes.
constexpr std::size_t max_idle_connections = 4;
/// An idle connection older than this may have been forgotten by something on its way.
constexpr std::chrono::seconds max_idle_time{10};
/// A connection is given up so long before the target would close it.
constexpr std::chrono::milliseconds idle_margin{1'000};
/// Data that stays unacknowledged for this long ends a connection that has gone silent.
constexpr std::chrono::milliseconds unacknowledged_limit{1'000};
constexpr std::chrono::milliseconds connect_timeout{300};

/// An idle connection, or nullptr if a new one is needed.
connection_ptr take_idle(upstream_pool& pool, const endpoint& to);

/// A new connection. `problem` is set if the target was not reached; nothing was sent then.
asio::awaitable<connection_ptr> connect(upstream_pool& pool, endpoint to,
                                        std::chrono::steady_clock::time_point deadline,
                                        error_code& problem);

/// Keeps a connection whose answer was read completely.
void keep(upstream_pool& pool, const endpoint& to, const connection_ptr& connection);

/// Drops all idle connections to a target, after one of them has failed.
void drop_idle(upstream_pool& pool, const endpoint& to);

} // namespace almondquay
