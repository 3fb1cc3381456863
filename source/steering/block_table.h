#pragma once

#include "common/strong_type.h"
#include "config/fleet.h"

#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// Maps a caller's address to a region by longest-prefix match over CIDR blocks.
namespace almondquay {

/// Nested blocks flattened to disjoint ranges: range i starts at `starts[i]` and ends where the
/// next one starts. A range takes six bytes and a lookup is one binary search.
struct block_table : boost::intrusive_ref_counter<block_table, boost::thread_safe_counter> {
    static constexpr std::uint16_t no_region = 0xffff;

    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> regions; ///< index into `names`, or no_region
    std::vector<region_id> names;
};

using block_table_ptr = boost::intrusive_ptr<const block_table>;

/// Blocks must be valid CIDR, which `parse_fleet` checks. Of identical blocks the last one wins.
block_table_ptr make_block_table(const std::vector<caller_block>& blocks);

/// The region of an IPv4 address, or nullptr if no block contains it or it cannot be parsed.
const region_id* find_region(const block_table& table, std::string_view address);

} // namespace almondquay
