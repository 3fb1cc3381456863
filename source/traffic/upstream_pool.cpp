#include "traffic/upstream_pool.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondquay {

namespace {

/// An idle connection that leaves two TCP keep-alive probes, one second apart, unanswered is
/// closed.
constexpr int probe_seconds = 1;
constexpr int lost_probes = 2;

void release(upstream_connection* connection)
{
    intrusive_ptr_release(connection);
}

/// Whether the target has closed the connection or sent unsolicited data.
bool is_readable(upstream_connection& connection)
{
    char byte = 0;
    const auto got =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void set_options(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto limit = static_cast<unsigned>(tcp_user_timeout.count());
    const auto handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof probe_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof probe_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &lost_probes, sizeof lost_probes);
}

/// Opens the connection's socket with a descriptor of those for targets.
void open_socket(upstream_pool& pool, upstream_connection& connection, error_code& problem)
{
    auto& socket = connection.stream.socket();
    socket.open(tcp::v4(), problem);
    if (!problem && socket.native_handle() >= pool.descriptor_limit) {
        error_code ignored;
        socket.close(ignored);
        problem = asio::error::no_descriptors;
    }
}

} // namespace

upstream_pool::~upstream_pool()
{
    drop_all_idle(*this);
}

connection_ptr take_idle(upstream_pool& pool, const endpoint& to)
{
    const auto found = pool.idle.find(to);
    if (found == pool.idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    while (!connections.empty()) {
        // The most recently used one is the least likely to be stale.
        connection_ptr latest(&connections.back(), false);
        connections.pop_back();
        const auto age = std::chrono::steady_clock::now() - latest->idle_since;
        const auto limit = latest->idle_timeout.count() == 0
                               ? std::chrono::milliseconds(max_idle_time)
                               : latest->idle_timeout - idle_margin;
        if (age < limit && !is_readable(*latest)) {
            latest->reused = true;
            return latest;
        }
    }
    return nullptr;
}

asio::awaitable<connection_ptr> connect(upstream_pool& pool, endpoint to,
                                        std::chrono::steady_clock::time_point deadline,
                                        error_code& problem)
{
    connection_ptr connection(new upstream_connection(*pool.io));
    const auto now = std::chrono::steady_clock::now();
    connection->stream.expires_at(std::min(deadline, now + connect_timeout));
    open_socket(pool, *connection, problem);
    if (problem == asio::error::no_descriptors) {
        drop_all_idle(pool);
        open_socket(pool, *connection, problem);
    }
    if (problem) {
        co_return connection;
    }
    const tcp::endpoint address(asio::ip::make_address(to.address), to.port);
    co_await connection->stream.async_connect(address, redirect_error_to(problem));
    if (!problem) {
        set_options(connection->stream.socket());
    }
    co_return connection;
}

void put_idle(upstream_pool& pool, const endpoint& to, const connection_ptr& connection)
{
    auto& connections = pool.idle[to];
    if (connections.size() >= max_idle_connections || connection->buffer.size() != 0) {
        return;
    }
    connection->stream.expires_never();
    connection->idle_since = std::chrono::steady_clock::now();
    intrusive_ptr_add_ref(connection.get()); // The list holds its own reference.
    connections.push_back(*connection);
}

void drop_idle(upstream_pool& pool, const endpoint& to)
{
    const auto found = pool.idle.find(to);
    if (found != pool.idle.end()) {
        found->second.clear_and_dispose(release);
    }
}

void drop_all_idle(upstream_pool& pool)
{
    for (auto& [to, connections] : pool.idle) {
        connections.clear_and_dispose(release);
    }
}

} // namespace almondquay
