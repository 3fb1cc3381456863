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

/// The tool's connection to a deployment: its platform and all entry hosts it can discover.
namespace almondquay {

struct operator_session {
    explicit operator_session(process_settings s) : settings(std::move(s)) {}

    process_settings settings;
    boost::asio::io_context io{1};
    std::unique_ptr<http_object_store> store;
    std::unique_ptr<http::client> client;
};

std::unique_ptr<operator_session> open_session(process_settings settings);

/// The fleet envelope with the version of the platform object that holds it.
struct platform_fleet {
    fleet_envelope envelope;
    object_version version = 0; ///< 0 if there is no object yet
};

/// Reads the fleet object; an empty envelope if there is none. Errors: those of the platform.
result<platform_fleet> read_fleet(operator_session& session);

/// Writes `next`, provided that the object is still at the version of `read`. If the response is
/// lost, reads the object back, so that a write that took effect is not reported as failed. Errors:
/// platform_conflict and others.
result<done> write_fleet(operator_session& session, const platform_fleet& read,
                         const fleet_envelope& next);

/// Responses to one RPC method, keyed by the host's endpoint.
using host_answers = std::map<endpoint, result<std::string>>;

/// Calls `method` on every host: the seeds of the settings and the hosts in the fleet
/// configurations that are active on the seeds.
host_answers call_hosts(operator_session& session, const std::string& method,
                        const std::string& argument = "");

/// The highest generation that is active on any host; 0 if no host responded.
generation highest_in_force(operator_session& session);

} // namespace almondquay
