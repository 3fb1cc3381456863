#include "traffic/retry_budget.h"

#include <algorithm>

namespace almondquay {

void note_request(retry_budget& budget, const shared_budgets& bounds, std::size_t hosts)
{
    const auto most = bounds.retry_slack / static_cast<double>(hosts);
    const auto before = budget.tokens < 0 ? most : budget.tokens;
    budget.tokens = std::min(before + bounds.retry_ratio * ratio_safety_factor, most);
}

bool has_retry(const retry_budget& budget)
{
    return budget.tokens >= 1.0;
}

bool take_retry(retry_budget& budget)
{
    if (!has_retry(budget)) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace almondquay
