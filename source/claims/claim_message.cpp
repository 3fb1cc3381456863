#include "claims/claim_message.h"

#include "common/overloaded.h"
#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

json id_json(const claim_id& id)
{
    return {{"host", id.host.value}, {"life", id.life.value}, {"number", id.number}};
}

claim_id id_from(const json& value)
{
    return {host_id(value.at("host").get<std::string>()),
            incarnation(value.at("life").get<std::uint64_t>()),
            value.at("number").get<std::uint64_t>()};
}

/// The body is encoded as an array of byte values, since JSON strings cannot hold arbitrary bytes.
json answer_json(const claim_answer& a)
{
    return {{"status", a.status},
            {"type", a.content_type},
            {"kept", a.is_kept},
            {"body", std::vector<std::uint8_t>(a.body.begin(), a.body.end())}};
}

claim_answer answer_from(const json& value)
{
    const auto bytes = value.at("body").get<std::vector<std::uint8_t>>();
    return {value.at("status").get<unsigned>(), value.at("type").get<std::string>(),
            std::string(bytes.begin(), bytes.end()), value.at("kept").get<bool>()};
}

claim_key key_from(const json& value)
{
    auto key = parse_claim_key(value.get<std::string>());
    if (!succeeded(key)) {
        throw json::other_error::create(501, "invalid claim key", nullptr);
    }
    return value_of(key);
}

json verdict_json(const claim_verdict& verdict)
{
    return std::visit(
        overloaded{
            [](const claim_granted&) {
                return json{{"verdict", "granted"}};
            },
            [](const claim_replayed& v) {
                return json{{"verdict", "replayed"}, {"answer", answer_json(v.answer)}};
            },
            [](const claim_refused& v) {
                return json{{"verdict", "refused"}, {"code", static_cast<int>(v.code)}};
            },
        },
        verdict);
}

claim_verdict verdict_from(const json& value)
{
    const auto name = value.at("verdict").get<std::string>();
    if (name == "granted") {
        return claim_granted{};
    }
    if (name == "replayed") {
        return claim_replayed{answer_from(value.at("answer"))};
    }
    return claim_refused{static_cast<result_code>(value.at("code").get<int>())};
}

json body_json(const claim_request_message& m)
{
    return {{"kind", "want"},
            {"key", text_of(m.claim.key)},
            {"id", id_json(m.claim.id)},
            {"digest", m.claim.digest},
            {"time_left_ms", m.time_left.count()}};
}

json body_json(const verdict_message& m)
{
    return {{"kind", "verdict"},
            {"key", text_of(m.key)},
            {"id", id_json(m.id)},
            {"verdict", verdict_json(m.verdict)}};
}

json body_json(const outcome_message& m)
{
    return {{"kind", "outcome"},
            {"key", text_of(m.outcome.key)},
            {"id", id_json(m.outcome.id)},
            {"end", static_cast<int>(m.outcome.end)},
            {"answer", answer_json(m.outcome.answer)}};
}

json body_json(const outcome_ack_message& m)
{
    return {{"kind", "outcome_kept"}, {"id", id_json(m.id)}};
}

claim_end end_from(const json& value)
{
    const auto end = value.get<int>();
    if (end < 0 || end > static_cast<int>(claim_end::unknown)) {
        throw json::other_error::create(501, "claim outcome out of range", nullptr);
    }
    return static_cast<claim_end>(end);
}

claim_message from_json(const json& whole)
{
    claim_message message;
    message.from.value = whole.at("from").get<std::string>();
    const auto& body = whole.at("body");
    const auto kind = body.at("kind").get<std::string>();
    const auto id = id_from(body.at("id"));
    if (kind == "want") {
        message.body = claim_request_message{
            {key_from(body.at("key")), id, body.at("digest").get<std::uint64_t>()},
            std::chrono::milliseconds(body.at("time_left_ms").get<std::int64_t>())};
    } else if (kind == "verdict") {
        message.body =
            verdict_message{id, key_from(body.at("key")), verdict_from(body.at("verdict"))};
    } else if (kind == "outcome") {
        message.body = outcome_message{{key_from(body.at("key")), id, end_from(body.at("end")),
                                        answer_from(body.at("answer"))}};
    } else {
        message.body = outcome_ack_message{id};
    }
    return message;
}

} // namespace

std::string encode(const claim_message& message)
{
    return json{{"from", message.from.value},
                {"body", std::visit([](const auto& m) { return body_json(m); }, message.body)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_message> decode_claim_message(std::string_view text)
{
    try {
        return from_json(json::parse(text));
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
