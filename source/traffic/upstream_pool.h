#pragma once

#include "common/endpoint.h"
#include "traffic/beast_types.h"

#include <chrono>
#include <limits>
#include <map>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// A traffic thread's connection pool for targets. A connection carries one request at a time and
/// is not reused after its request was abandoned.
namespace almondquay {

/// Maximum size of the read buffer for responses. Responses that need more, for example because of
/// endless chunk extensions or trailers, count as malformed.
constexpr std::size_t max_upstream_buffer_bytes = 128 * 1024;

struct upstream_connection
    : boost::intrusive_ref_counter<upstream_connection, boost::thread_unsafe_counter>,
      boost::intrusive::list_base_hook<> {
    explicit upstream_connection(asio::io_context& io) : stream(io) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_upstream_buffer_bytes};
    std::chrono::steady_clock::time_point idle_since;
    std::chrono::milliseconds idle_timeout{0}; ///< announced by the target; 0 if none
    bool reused = false; ///< taken from the pool, so it has carried a request before
};

using connection_ptr = boost::intrusive_ptr<upstream_connection>;

struct upstream_pool {
    explicit upstream_pool(asio::io_context& context) : io(&context) {}
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    asio::io_context* io;
    std::map<endpoint, boost::intrusive::list<upstream_connection>> idle;
    /// Connections have descriptors below this number; the others are left to other uses.
    int descriptor_limit = std::numeric_limits<int>::max();
};

/// Maximum number of idle connections per target. Together with those in use, they stay far below
/// the number of connections that a target accepts.
constexpr std::size_t max_idle_connections = 4;
/// Connections that were idle for longer may have been dropped by a network device on the path.
constexpr std::chrono::seconds max_idle_time{10};
/// An idle connection is discarded this long before the target would close it.
constexpr std::chrono::milliseconds idle_margin{1'000};
/// A connection whose data stays unacknowledged for this long is considered dead and closed.
constexpr std::chrono::milliseconds tcp_user_timeout{1'000};
constexpr std::chrono::milliseconds connect_timeout{300};

/// An idle connection, or nullptr if a new one is needed.
connection_ptr take_idle(upstream_pool& pool, const endpoint& to);

/// Opens a new connection. Sets `problem` if the target was not reached; nothing was sent then.
/// It is no_descriptors if the process has none left for connections to targets, even after all
/// idle ones were closed.
asio::awaitable<connection_ptr> connect(upstream_pool& pool, endpoint to,
                                        std::chrono::steady_clock::time_point deadline,
                                        error_code& problem);

/// Returns a connection to the pool after its response was read completely.
void put_idle(upstream_pool& pool, const endpoint& to, const connection_ptr& connection);

/// Closes all idle connections to a target, for example after one of them has failed.
void drop_idle(upstream_pool& pool, const endpoint& to);

/// Closes all idle connections, because the process has few file descriptors left.
void drop_all_idle(upstream_pool& pool);

} // namespace almondquay
