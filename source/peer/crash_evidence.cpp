#include "peer/crash_evidence.h"

#include <nlohmann/json.hpp>

namespace almondquay {

std::string encode(const crash_evidence& evidence)
{
    return nlohmann::json{{"fingerprint", evidence.fingerprint},
                          {"description", evidence.description},
                          {"target", evidence.target.value}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<crash_evidence> decode_crash_evidence(std::string_view text)
{
    try {
        const auto whole = nlohmann::json::parse(text);
        return crash_evidence{whole.at("fingerprint").get<request_fingerprint>(),
                              whole.at("description").get<std::string>(),
                              target_id(whole.at("target").get<std::string>())};
    } catch (const nlohmann::json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
