#include "steering/slot_share.h"

#include <xxhash.h>

namespace almondquay {

std::uint32_t share_of(std::uint32_t whole, std::size_t first, std::size_t position,
                       std::size_t hosts)
{
    if (hosts == 0 || position >= hosts) {
        return 0;
    }
    const auto offset = (position + hosts - first % hosts) % hosts;
    const auto remainder = whole % hosts;
    return static_cast<std::uint32_t>(whole / hosts + (offset < remainder ? 1 : 0));
}

std::size_t hashed_position(const target_id& name)
{
    return XXH3_64bits(name.value.data(), name.value.size());
}

} // namespace almondquay
