#pragma once

#include "common/strong_type.h"
#include "config/fleet.h"

#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// Finds the region of a caller's address: the longest matching block decides.
namespace almondquay {

/// Nested blocks flattened to disjoint ranges: range i starts at `starts[i]` and ends before the
/// next one. Six bytes a range, and one binary search a look-up.
struct block_table : boost::intrusive_ref_counter<block_table, boost::thread_safe_counter> {
    static constexpr std::uint16_t no_region = 0xffff;

    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> regions; ///< index into `names`, or no_region
    std::vector<region_id> names;
};

using block_table_ptr = boost::intrusive_ptr<const block_table>;

/// Blocks must be valid; `parse_fleet` has seen to that. Among equal blocks the last one wins.
block_table_ptr make_block_table(const std::vector<caller_block>& blocks);

/// The region of an IPv4 address, or nullptr if no block contains it or it cannot be read.
const region_id* find_region(const block_table& table, std::string_view address);

} // namespace almondquay
