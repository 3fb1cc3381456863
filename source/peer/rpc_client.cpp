#include "peer/rpc_client.h"

#include "peer/rpc_server.h"

#include <memory>

#include <json/json.h>

namespace almondquay {

namespace {

/// Builds the JSON-RPC request by hand, because the client of libjson-rpc-cpp requires C++14 and
/// blocks.
std::string encode_call(const std::string& method, const std::string& argument)
{
    Json::Value call;
    call["jsonrpc"] = "2.0";
    call["id"] = 1;
    call["method"] = method;
    call["params"]["argument"] = argument;
    return Json::writeString(Json::StreamWriterBuilder(), call);
}

result<std::string> decode_answer(const std::string& body)
{
    Json::Value answer;
    std::string problems;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    try {
        const bool is_json =
            reader->parse(body.data(), body.data() + body.size(), &answer, &problems);
        if (is_json && answer.isObject() && answer["result"].isString()) {
            return answer["result"].asString();
        }
    } catch (const Json::Exception& problem) {
        problems = problem.what();
    }
    return error{result_code::peer_message_malformed, problems.empty() ? body : problems};
}

result<std::string> check_answer(const shared_secret& secret, const result<http::response>& answer)
{
    if (!succeeded(answer)) {
        return error_of(answer);
    }
    const auto& r = value_of(answer);
    if (!verify_signature(secret, r.body, http::header_of(r.headers, signature_header))) {
        return error{result_code::peer_unauthenticated, "status " + std::to_string(r.status)};
    }
    return decode_answer(r.body);
}

} // namespace

void call_rpc(http::client& client, const shared_secret& secret, const endpoint& to,
              const std::string& method, const std::string& argument,
              std::chrono::milliseconds timeout, rpc_handler handler)
{
    auto body = encode_call(method, argument);
    const http::header signature{std::string(signature_header), sign(secret, body)};
    client.send(to, {"POST", std::string(rpc_path), {signature}, std::move(body)}, timeout,
                [secret, handler = std::move(handler)](const result<http::response>& answer) {
                    handler(check_answer(secret, answer));
                });
}

} // namespace almondquay
