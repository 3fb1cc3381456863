#include "steering/slot_share.h"

#include <xxhash.h>

namespace almondquay {

std::uint32_t share_of(std::uint32_t whole, const target_id& target, std::size_t position,
                       std::size_t hosts)
{
    if (hosts == 0 || position >= hosts) {
        return 0;
    }
    const auto first = XXH3_64bits(target.value.data(), target.value.size()) % hosts;
    const auto turn = (position + hosts - first) % hosts;
    const auto remainder = whole % hosts;
    return static_cast<std::uint32_t>(whole / hosts + (turn < remainder ? 1 : 0));
}

} // namespace almondquay
