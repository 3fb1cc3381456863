#pragma once

#include "config/diagnostic.h"
#include "http/message.h"
#include "store/inventory.h"

/// How a store that keeps an inventory is spoken to, as data: the one HTTP client serves all of
/// them. A store without an inventory has no functions here.
namespace almondquay {

struct store_protocol {
    /// The call that answers `question`.
    http::request (*encode_question)(const inventory_question& question) = nullptr;

    /// Errors: platform_history_lost if changes since that revision are no longer known, and those
    /// of all calls to a store.
    result<inventory_page> (*decode_page)(const inventory_question& question,
                                          const http::response& answer) = nullptr;

    /// The call that lists this host among the entry hosts.
    http::request (*encode_registration)(const host& self) = nullptr;

    /// The call that takes a host off the list.
    http::request (*encode_removal)(const host_id& id) = nullptr;

    /// Reads a configuration's text. Findings name `file`.
    std::variant<fleet, diagnostics> (*parse_fleet)(std::string_view text,
                                                    const std::string& file) = nullptr;
};

} // namespace almondquay
