#pragma once

#include "common/authentication.h"
#include "common/result.h"
#include "http/message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// JSON-RPC between the project's own processes, signed with the shared secret.
namespace almondquay {

/// Takes a method's argument and returns its result, both as JSON-encoded messages.
using rpc_method = std::function<std::string(const std::string& argument)>;
using rpc_methods = std::map<std::string, rpc_method>;

/// The header that carries the signature of the body, in requests and responses.
inline constexpr std::string_view signature_header = "Almondquay-Signature";
inline constexpr std::string_view rpc_path = "/rpc";

/// Serves signed JSON-RPC requests; libjson-rpc-cpp implements the protocol.
class rpc_server {
public:
    static std::unique_ptr<rpc_server> create(shared_secret secret, rpc_methods methods);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Returns 403 for a wrong signature, otherwise the signed JSON-RPC response.
    http::response handle(const http::request& request);

private:
    struct implementation;
    explicit rpc_server(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> parts_;
};

} // namespace almondquay
