#pragma once

#include "http/client.h"
#include "store/object_store.h"
#include "store/store_protocol.h"

#include <memory>

namespace almondquay {

/// Number of calls sent, by kind; a long-polling watch counts as one call, as the platform counts
/// it.
struct platform_call_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// Maps transport failures: only a request that was never sent is certain to have had no effect.
error to_platform_error(const error& e);

/// Maps the status of an unsuccessful response to an error.
error to_platform_error(const http::response& answer);

/// The object API over HTTP: GET, PUT and DELETE of /v1/objects/KEY with If-Match and
/// If-None-Match, versions in ETag, and watches as long-polling GETs.
class http_object_store final : public object_store {
public:
    static std::unique_ptr<http_object_store> create(boost::asio::io_context& io,
                                                     const endpoint& platform,
                                                     std::chrono::milliseconds timeout,
                                                     const store_protocol& protocol = {});

    void get(const std::string& key, object_handler handler) override;
    void create(const std::string& key, std::string body, version_handler handler) override;
    void update(const std::string& key, object_version expected, std::string body,
                version_handler handler) override;
    void remove(const std::string& key, object_version expected, done_handler handler) override;
    void watch(const std::string& key, object_version known, std::chrono::milliseconds wait,
               object_handler handler) override;
    void query_inventory(const inventory_query& query, page_handler handler) override;
    void register_host(const host& self, registration_handler handler) override;
    void remove_host(const host_id& id, done_handler handler) override;

    const platform_call_counts& counts() const { return counts_; }

private:
    http_object_store(boost::asio::io_context& io, endpoint platform,
                      std::chrono::milliseconds timeout, const store_protocol& protocol);

    void put(const std::string& key, http::header condition, std::string body,
             version_handler handler);
    void send_host_change(http::request call, unsigned already_done_status,
                          registration_handler handler);

    std::unique_ptr<http::client> client_;
    endpoint platform_;
    std::chrono::milliseconds timeout_;
    platform_call_counts counts_;
    store_protocol protocol_;
};

} // namespace almondquay
