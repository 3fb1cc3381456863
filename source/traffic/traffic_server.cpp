#include "traffic/traffic_server.h"

#include "logging/handler_failure.h"
#include "traffic/worker.h"

#include <atomic>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace almondquay {

namespace {

/// Size of each thread's range of claim request numbers: a number is unique in the process and
/// identifies the thread that waits for the verdict.
constexpr std::uint64_t requests_per_thread = 1ULL << 48U;

using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

struct running_worker {
    explicit running_worker(traffic_context context)
        : state(std::move(context)), guard(asio::make_work_guard(state.io))
    {
    }

    worker state;
    work_guard guard;
    std::thread thread;
};

} // namespace

struct traffic_server::shared_state {
    std::unique_ptr<slot_pool> slots;
    std::unique_ptr<statement_board> statements;
    std::vector<std::unique_ptr<running_worker>> workers;
};

result<std::unique_ptr<traffic_server>> traffic_server::create(const traffic_settings& settings,
                                                               metrics::registry& metrics,
                                                               const traffic_events& events)
{
    auto state = std::make_unique<shared_state>();
    state->slots = slot_pool::create();
    state->statements = statement_board::create();
    traffic_context context{settings.host,
                            settings.domain,
                            settings.secret,
                            settings.listen,
                            settings.profile,
                            settings.budgets,
                            settings.max_connections,
                            limits_of_process(),
                            state->slots.get(),
                            state->statements.get(),
                            &metrics,
                            events,
                            0};
    for (std::uint32_t i = 0; i < settings.threads; ++i) {
        context.first_request = i * requests_per_thread;
        auto w = std::make_unique<running_worker>(context);
        const auto listening = start_listening(w->state);
        if (!succeeded(listening)) {
            return error_of(listening);
        }
        state->workers.push_back(std::move(w));
    }
    for (auto& w : state->workers) {
        w->thread = std::thread([&io = w->state.io] { log::run_handlers(io, "traffic"); });
    }
    return std::unique_ptr<traffic_server>(new traffic_server(std::move(state)));
}

traffic_server::traffic_server(std::unique_ptr<shared_state> state) : state_(std::move(state)) {}

traffic_server::~traffic_server()
{
    for (auto& w : state_->workers) {
        w->state.io.stop();
    }
    for (auto& w : state_->workers) {
        w->thread.join();
    }
}

void traffic_server::publish(const snapshot_ptr& snapshot)
{
    state_->slots->apply(*snapshot);
    state_->statements->apply(*snapshot, std::chrono::steady_clock::now());
    for (auto& w : state_->workers) {
        asio::post(w->state.io, [w = &w->state, snapshot] { w->snapshot = snapshot; });
    }
}

void traffic_server::deliver_verdict(const claim_verdict_effect& verdict)
{
    auto& w = state_->workers[verdict.request / requests_per_thread];
    asio::post(w->state.io, [w = &w->state, verdict] { take_verdict(*w, verdict); });
}

void traffic_server::deliver_permit(const permit_verdict_effect& verdict)
{
    const auto thread = verdict.request / requests_per_thread;
    if (thread >= state_->workers.size()) {
        return; // A peer's answer to no request of this process, like one that comes too late.
    }
    auto& w = state_->workers[thread];
    asio::post(w->state.io, [w = &w->state, verdict] { take_permit(*w, verdict); });
}

void traffic_server::stop(std::function<void()> on_drained)
{
    const auto left = std::make_shared<std::atomic<std::size_t>>(state_->workers.size());
    const auto on_thread_drained = [left, on_drained = std::move(on_drained)] {
        if (left->fetch_sub(1) == 1) {
            on_drained();
        }
    };
    for (auto& w : state_->workers) {
        asio::post(w->state.io,
                   [w = &w->state, on_thread_drained] { stop_listening(*w, on_thread_drained); });
    }
}

std::uint32_t traffic_server::in_flight(const target_id& target) const
{
    return state_->slots->in_flight(target);
}

} // namespace almondquay
