#include "traffic/spill.h"

#include <boost/asio/steady_timer.hpp>

namespace almondquay {

namespace {

std::string signed_text(std::string_view service, const caller_parser::value_type& request)
{
    std::string text(service);
    text += ' ';
    text += request.method_string();
    text += ' ';
    text += request.target();
    return text;
}

} // namespace

std::string spill_signature(const worker& w, std::string_view service,
                            const caller_parser::value_type& request)
{
    return sign(w.context.secret, signed_text(service, request));
}

bool is_spilled(const worker& w, std::string_view service, const caller_parser::value_type& request)
{
    const auto proof = request[spill_header];
    return !proof.empty() && verify_signature(w.context.secret, signed_text(service, request),
                                              {proof.data(), proof.size()});
}

asio::awaitable<void> pace(worker& w, pacing& p, std::size_t size)
{
    if (p.bytes_per_second <= 0) {
        co_return;
    }
    p.bytes += static_cast<double>(size);
    const std::chrono::duration<double> needed(p.bytes / p.bytes_per_second);
    asio::steady_timer timer(
        w.io, p.start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(needed));
    error_code ignored;
    co_await timer.async_wait(redirect_error_to(ignored));
}

} // namespace almondquay
