#include "store/http_object_store.h"

#include <charconv>

namespace almondquay {

namespace {

std::string path_of(const std::string& key)
{
    return "/v1/objects/" + http::percent_encoded(key);
}

std::string quoted_version(object_version version)
{
    return '"' + std::to_string(version) + '"';
}

result<object_version> version_in(const http::response& answer)
{
    const auto tag = http::header_of(answer.headers, "ETag");
    object_version version = 0;
    if (tag.size() > 2) {
        const auto [end, problem] =
            std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
        if (problem == std::errc{} && end == tag.data() + tag.size() - 1) {
            return version;
        }
    }
    return error{result_code::platform_bad_answer, "response has no valid ETag"};
}

result<object_version> to_version(const result<http::response>& answer)
{
    if (!succeeded(answer)) {
        return to_platform_error(error_of(answer));
    }
    const auto& r = value_of(answer);
    const bool is_good = r.status == http::status_ok || r.status == http::status_created;
    return is_good ? version_in(r) : result<object_version>(to_platform_error(r));
}

result<stored_object> to_object(const std::string& key, result<http::response>&& answer)
{
    if (!succeeded(answer)) {
        return to_platform_error(error_of(answer));
    }
    auto& r = value_of(answer);
    if (r.status != http::status_ok) {
        return to_platform_error(r);
    }
    const auto version = version_in(r);
    if (!succeeded(version)) {
        return error_of(version);
    }
    return stored_object{key, value_of(version), std::move(r.body)};
}

} // namespace

error to_platform_error(const error& e)
{
    const auto code = e.code == result_code::peer_unreachable ? result_code::platform_unavailable
                                                              : result_code::platform_answer_lost;
    return {code, e.detail};
}

error to_platform_error(const http::response& answer)
{
    const auto status = std::to_string(answer.status);
    switch (answer.status) {
    case http::status_no_content:
    case http::status_not_found:
        return {result_code::platform_not_found, status};
    case http::status_conflict:
    case http::status_precondition_failed:
        return {result_code::platform_conflict, status};
    case http::status_too_many_requests:
        return {result_code::platform_rate_limited, status};
    case http::status_unavailable:
        return {result_code::platform_unavailable, status};
    case http::status_gone:
        return {result_code::platform_history_lost, status};
    default:
        return {result_code::platform_bad_answer, status};
    }
}

std::unique_ptr<http_object_store> http_object_store::create(boost::asio::io_context& io,
                                                             const endpoint& platform,
                                                             std::chrono::milliseconds timeout,
                                                             const store_protocol& protocol)
{
    return std::unique_ptr<http_object_store>(
        new http_object_store(io, platform, timeout, protocol));
}

http_object_store::http_object_store(boost::asio::io_context& io, endpoint platform,
                                     std::chrono::milliseconds timeout,
                                     const store_protocol& protocol)
    : client_(http::client::create(io)), platform_(std::move(platform)), timeout_(timeout),
      protocol_(protocol)
{
}

void http_object_store::get(const std::string& key, object_handler handler)
{
    ++counts_.reads;
    client_->send(platform_, {"GET", path_of(key), {}, {}}, timeout_,
                  [key, handler = std::move(handler)](result<http::response> answer) {
                      handler(to_object(key, std::move(answer)));
                  });
}

void http_object_store::put(const std::string& key, http::header condition, std::string body,
                            version_handler handler)
{
    ++counts_.writes;
    client_->send(platform_, {"PUT", path_of(key), {std::move(condition)}, std::move(body)},
                  timeout_, [handler = std::move(handler)](const result<http::response>& answer) {
                      handler(to_version(answer));
                  });
}

void http_object_store::create(const std::string& key, std::string body, version_handler handler)
{
    put(key, {"If-None-Match", "*"}, std::move(body), std::move(handler));
}

void http_object_store::update(const std::string& key, object_version expected, std::string body,
                               version_handler handler)
{
    put(key, {"If-Match", quoted_version(expected)}, std::move(body), std::move(handler));
}

void http_object_store::remove(const std::string& key, object_version expected,
                               done_handler handler)
{
    ++counts_.writes;
    const http::header condition{"If-Match", quoted_version(expected)};
    client_->send(platform_, {"DELETE", path_of(key), {condition}, {}}, timeout_,
                  [handler = std::move(handler)](const result<http::response>& answer) {
                      const auto version = to_version(answer);
                      handler(succeeded(version) ? result<done>(done{})
                                                 : result<done>(error_of(version)));
                  });
}

void http_object_store::watch(const std::string& key, object_version known,
                              std::chrono::milliseconds wait, object_handler handler)
{
    ++counts_.watches;
    const auto path = path_of(key) + "?after=" + std::to_string(known) +
                      "&wait_ms=" + std::to_string(wait.count());
    client_->send(platform_, {"GET", path, {}, {}}, timeout_ + wait,
                  [key, handler = std::move(handler)](result<http::response> answer) {
                      handler(to_object(key, std::move(answer)));
                  });
}

void http_object_store::query_inventory(const inventory_query& query, page_handler handler)
{
    ++(query.follow ? counts_.watches : counts_.reads);
    client_->send(platform_, protocol_.encode_query(query), timeout_ + query.wait,
                  [query, protocol = protocol_,
                   handler = std::move(handler)](const result<http::response>& answer) {
                      if (succeeded(answer)) {
                          handler(protocol.decode_page(query, value_of(answer)),
                                  protocol.decode_era(value_of(answer)));
                      } else {
                          handler(to_platform_error(error_of(answer)), {});
                      }
                  });
}

/// `already_done_status` is the error status that means that the requested state already holds.
void http_object_store::send_host_change(http::request call, unsigned already_done_status,
                                         registration_handler handler)
{
    ++counts_.writes;
    client_->send(platform_, std::move(call), timeout_,
                  [already_done_status, decode_era = protocol_.decode_era,
                   handler = std::move(handler)](const result<http::response>& answer) {
                      if (!succeeded(answer)) {
                          handler(to_platform_error(error_of(answer)), {});
                          return;
                      }
                      const auto status = value_of(answer).status;
                      const bool is_done =
                          status == http::status_ok || status == http::status_created ||
                          status == http::status_no_content || status == already_done_status;
                      handler(is_done ? result<done>(done{})
                                      : result<done>(to_platform_error(value_of(answer))),
                              decode_era(value_of(answer)));
                  });
}

void http_object_store::register_host(const host& self, registration_handler handler)
{
    send_host_change(protocol_.encode_registration(self), http::status_conflict,
                     std::move(handler));
}

void http_object_store::remove_host(const host_id& id, done_handler handler)
{
    send_host_change(protocol_.encode_removal(id), http::status_not_found,
                     [handler = std::move(handler)](result<done> outcome, const era_statement&) {
                         handler(std::move(outcome));
                     });
}

} // namespace almondquay
