#include "steering/block_table.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <arpa/inet.h>

namespace almondquay {

namespace {

constexpr unsigned address_bits = 32;

struct range {
    std::uint64_t first = 0;
    std::uint64_t end = 0; ///< one past the last address
    std::uint16_t region = block_table::no_region;
};

std::optional<std::uint32_t> to_number(std::string_view address)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, std::string(address).c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return ntohl(parsed.s_addr);
}

range to_range(std::string_view cidr, std::uint16_t region)
{
    const auto slash = cidr.find('/');
    unsigned bits = 0;
    std::from_chars(cidr.data() + slash + 1, cidr.data() + cidr.size(), bits);
    const std::uint64_t size = 1ULL << (address_bits - bits);
    const std::uint64_t address = to_number(cidr.substr(0, slash)).value_or(0);
    const std::uint64_t first = address / size * size;
    return {first, first + size, region};
}

std::uint16_t index_of(std::vector<region_id>& names, const region_id& name)
{
    const auto found = std::ranges::find(names, name);
    if (found != names.end()) {
        return static_cast<std::uint16_t>(found - names.begin());
    }
    names.push_back(name);
    return static_cast<std::uint16_t>(names.size() - 1);
}

void append(block_table& table, std::uint64_t start, std::uint16_t region)
{
    if (start >> address_bits != 0) {
        return;
    }
    if (!table.starts.empty() && table.starts.back() == start) {
        table.regions.back() = region;
        return;
    }
    if (!table.regions.empty() && table.regions.back() == region) {
        return;
    }
    table.starts.push_back(static_cast<std::uint32_t>(start));
    table.regions.push_back(region);
}

} // namespace

block_table_ptr make_block_table(const std::vector<caller_block>& blocks)
{
    boost::intrusive_ptr<block_table> table(new block_table);
    std::vector<range> ranges;
    ranges.reserve(blocks.size());
    for (const auto& block : blocks) {
        ranges.push_back(to_range(block.cidr, index_of(table->names, block.near_region)));
    }
    // Sorted so that enclosing blocks precede the blocks nested in them; a stack of open blocks
    // then suffices.
    std::ranges::stable_sort(ranges, [](const range& a, const range& b) {
        return a.first != b.first ? a.first < b.first : a.end > b.end;
    });
    std::vector<range> open;
    const auto close_until = [&](std::uint64_t position) {
        while (!open.empty() && open.back().end <= position) {
            const auto end = open.back().end;
            open.pop_back();
            append(*table, end, open.empty() ? block_table::no_region : open.back().region);
        }
    };
    for (const auto& r : ranges) {
        close_until(r.first);
        append(*table, r.first, r.region);
        open.push_back(r);
    }
    close_until(1ULL << address_bits);
    table->starts.shrink_to_fit();
    table->regions.shrink_to_fit();
    return table;
}

const region_id* find_region(const block_table& table, std::string_view address)
{
    const auto number = to_number(address);
    if (!number) {
        return nullptr;
    }
    const auto after = std::ranges::upper_bound(table.starts, *number);
    if (after == table.starts.begin()) {
        return nullptr;
    }
    const auto region = table.regions[static_cast<std::size_t>(after - table.starts.begin()) - 1];
    return region == block_table::no_region ? nullptr : &table.names[region];
}

} // namespace almondquay
