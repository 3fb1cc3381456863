#pragma once

#include "config/parts_codec.h"
#include "http/message.h"
#include "store/inventory.h"

/// The codec for one kind of inventory store, as a table of functions, so that one HTTP client
/// serves all kinds. All functions are null for a store without an inventory.
namespace almondquay {

struct store_protocol {
    /// Encodes the HTTP request for `query`.
    http::request (*encode_query)(const inventory_query& query) = nullptr;

    /// Decodes the response; its revisions are those of the era that the response states. Errors:
    /// those of all store calls, and platform_history_lost if the store no longer keeps the changes
    /// since that revision.
    result<inventory_page> (*decode_page)(const inventory_query& query,
                                          const http::response& answer) = nullptr;

    /// Decodes the era that any response of the store states, whatever its status.
    era_statement (*decode_era)(const http::response& answer) = nullptr;

    /// Encodes the HTTP request that registers this host as an entry host.
    http::request (*encode_registration)(const host& self) = nullptr;

    /// Encodes the HTTP request that removes a host from the registry.
    http::request (*encode_removal)(const host_id& id) = nullptr;

    /// Divides and parses the configuration.
    parts_codec configuration{};
};

} // namespace almondquay
