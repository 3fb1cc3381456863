#pragma once

#include "config/fleet.h"
#include "config/fleet_envelope.h"
#include "config/process_settings.h"
#include "http/client.h"
#include "store/http_object_store.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

/// The tool's view of a deployment: the platform and every entry host it can find.
namespace almondquay {

struct operator_session {
    explicit operator_session(process_settings s) : settings(std::move(s)) {}

    process_settings settings;
    boost::asio::io_context io{1};
    std::unique_ptr<http_object_store> store;
    std::unique_ptr<http::client> client;
};

std::unique_ptr<operator_session> open_session(process_settings settings);

/// The envelope with the version it has at the platform.
struct platform_fleet {
    fleet_envelope envelope;
    object_version version = 0; ///< 0 if there is no object yet
};

/// Reads the fleet object; an empty envelope if there is none. Errors: those of the platform.
result<platform_fleet> read_fleet(operator_session& session);

/// Writes the envelope over the version that was read. An answer that was lost is looked up, so
/// that a write that took effect is not reported as failed. Errors: platform_conflict and others.
result<done> write_fleet(operator_session& session, const platform_fleet& read,
                         const fleet_envelope& next);

/// One method's answers by the endpoint of the host that gave them.
using host_answers = std::map<endpoint, result<std::string>>;

/// Asks every host: those of the settings' seeds and those of the text that they have in force.
host_answers ask_hosts(operator_session& session, const std::string& method,
                       const std::string& argument = "");

/// The highest generation that any host has in force; 0 if none answered.
generation highest_in_force(operator_session& session);

} // namespace almondquay
