#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

/// Virtual time for the simulations of the fault matrix tests.
namespace almondquay {

/// Runs actions in order of their times; actions of equal times run in the order of insertion.
class action_queue {
public:
    void add(std::chrono::milliseconds at, std::function<void()> action)
    {
        actions_.push({at, next_order_++, std::move(action)});
    }

    /// Runs all actions, including those added while it runs; sets `now` before each action.
    void run(std::chrono::milliseconds& now)
    {
        while (!actions_.empty()) {
            const auto next = actions_.top();
            actions_.pop();
            now = next.at;
            next.action();
        }
    }

    std::size_t size() const { return actions_.size(); }

private:
    struct timed_action {
        std::chrono::milliseconds at{};
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct later {
        bool operator()(const timed_action& a, const timed_action& b) const
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    std::uint64_t next_order_ = 0;
    std::priority_queue<timed_action, std::vector<timed_action>, later> actions_;
};

} // namespace almondquay
