#include "peer/rpc_server.h"

#include <json/json.h>
#include <jsonrpccpp/server.h>

namespace almondquay {

namespace {

/// Connects libjson-rpc-cpp to this process's HTTP server: requests are passed in by a direct call
/// and the response is available when it returns.
class direct_connector final : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* sink) override
    {
        *static_cast<std::string*>(sink) = response;
        return true;
    }
};

class method_table final : public jsonrpc::AbstractServer<method_table> {
public:
    method_table(direct_connector& connector, rpc_methods methods)
        : jsonrpc::AbstractServer<method_table>(connector), methods_(std::move(methods))
    {
        for (const auto& [name, method] : methods_) {
            const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                                               "argument", jsonrpc::JSON_STRING, NULL);
            bindAndAddMethod(procedure, &method_table::unused);
        }
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        const auto method = methods_.find(procedure.GetProcedureName());
        output = method->second(input["argument"].asString());
    }

private:
    /// Never called: the library binds each method to a member function, but HandleMethodCall
    /// looks it up in methods_ instead.
    void unused(const Json::Value& /*input*/, Json::Value& /*output*/) {}

    rpc_methods methods_;
};

} // namespace

struct rpc_server::implementation {
    implementation(shared_secret s, rpc_methods methods)
        : secret(std::move(s)), table(connector, std::move(methods))
    {
    }

    shared_secret secret;
    direct_connector connector;
    method_table table;
};

std::unique_ptr<rpc_server> rpc_server::create(shared_secret secret, rpc_methods methods)
{
    auto parts = std::make_unique<implementation>(std::move(secret), std::move(methods));
    return std::unique_ptr<rpc_server>(new rpc_server(std::move(parts)));
}

rpc_server::rpc_server(std::unique_ptr<implementation> parts) : parts_(std::move(parts)) {}

rpc_server::~rpc_server() = default;

http::response rpc_server::handle(const http::request& request)
{
    const auto signature = http::header_of(request.headers, signature_header);
    if (!verify_signature(parts_->secret, request.body, signature)) {
        return {
            http::status_forbidden, {}, std::string(name_of(result_code::peer_unauthenticated))};
    }
    std::string answer;
    parts_->connector.OnRequest(request.body, &answer);
    const auto answer_signature = sign(parts_->secret, answer);
    return {
        http::status_ok,
        {{"Content-Type", "application/json"}, {std::string(signature_header), answer_signature}},
        std::move(answer)};
}

} // namespace almondquay
