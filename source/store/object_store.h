#pragma once

#include "common/result.h"
#include "store/inventory.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

/// The interface to the platform's object API.
namespace almondquay {

/// The platform's change counter of an object; it does not tell which fleet configuration is newer.
using object_version = std::uint64_t;

struct stored_object {
    std::string key;
    object_version version = 0;
    std::string body;

    bool operator==(const stored_object&) const = default;
};

using object_handler = std::function<void(result<stored_object>)>;
using version_handler = std::function<void(result<object_version>)>;
using page_handler = std::function<void(result<inventory_page>, const era_statement&)>;
using done_handler = std::function<void(result<done>)>;
using registration_handler = std::function<void(result<done>, const era_statement&)>;

/// Every call invokes its handler once, at the latest after its timeout. Errors of all calls:
/// platform_unavailable and platform_rate_limited (no effect), platform_answer_lost (a write may
/// have taken effect), platform_bad_answer.
class object_store {
public:
    virtual ~object_store() = default;

    /// Further errors: platform_not_found.
    virtual void get(const std::string& key, object_handler handler) = 0;

    /// Creates an object that does not exist yet. Further errors: platform_conflict.
    virtual void create(const std::string& key, std::string body, version_handler handler) = 0;

    /// Replaces the object if it still has version `expected`. Further errors:
    /// platform_conflict, also if the object does not exist.
    virtual void update(const std::string& key, object_version expected, std::string body,
                        version_handler handler) = 0;

    /// Deletes the object if it still has version `expected`. Further errors: platform_conflict.
    virtual void remove(const std::string& key, object_version expected, done_handler handler) = 0;

    /// Waits until the object's version differs from `known`, for at most `wait`. Further errors:
    /// platform_not_found if nothing changed in that time.
    virtual void watch(const std::string& key, object_version known, std::chrono::milliseconds wait,
                       object_handler handler) = 0;

    /// Reads a part of the inventory. Further errors: platform_history_lost. The handlers of this
    /// call and of a registration get the era that the answer states, also that of a refusal.
    virtual void query_inventory(const inventory_query& query, page_handler handler) = 0;

    /// Registers this host as an entry host; succeeds if it is already registered.
    virtual void register_host(const host& self, registration_handler handler) = 0;

    /// Removes a host from the registry; succeeds if it is not registered.
    virtual void remove_host(const host_id& id, done_handler handler) = 0;
};

} // namespace almondquay
