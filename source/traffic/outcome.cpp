#include "traffic/outcome.h"

namespace almondquay {

std::string_view name_of(outcome o)
{
    switch (o) {
    case outcome::not_run:
        return "not-run";
    case outcome::ran:
        return "ran";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

unsigned status_of(result_code code)
{
    switch (code) {
    case result_code::request_malformed:
    case result_code::key_missing:
    case result_code::key_malformed:
    case result_code::key_too_old:
    case result_code::key_from_future:
        return 400;
    case result_code::request_header_too_large:
        return 431;
    case result_code::request_body_too_large:
        return 413;
    case result_code::request_too_slow:
        return 408;
    case result_code::service_unknown:
    case result_code::route_unknown:
    case result_code::path_unknown:
        return 404;
    case result_code::method_not_allowed:
        return 405;
    case result_code::key_reused:
        return 422;
    case result_code::claim_still_running:
    case result_code::claim_outcome_unknown:
        return 409;
    case result_code::target_answer_lost:
    case result_code::target_answer_malformed:
    case result_code::target_failed:
    case result_code::claim_answer_not_kept:
        return 502;
    case result_code::transfer_coding_unknown:
        return 501;
    case result_code::deadline_passed:
        return 504;
    default:
        return 503;
    }
}

std::string refusal_body(result_code code, outcome o)
{
    return R"({"result":)" + std::to_string(static_cast<int>(code)) + R"(,"name":")" +
           std::string(name_of(code)) + R"(","outcome":")" + std::string(name_of(o)) +
           R"(","meaning":")" + std::string(meaning_of(code)) + "\"}\n";
}

} // namespace almondquay
