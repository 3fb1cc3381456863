#include "traffic/retry_budget.h"

#include <algorithm>

namespace almondquay {

void note_request(retry_budget& budget)
{
    budget.tokens = std::min(budget.tokens + retry_tokens_per_request, max_retry_tokens);
}

bool take_retry(retry_budget& budget)
{
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace almondquay
