#include "peer/era_codec.h"

#include <algorithm>

namespace almondquay {

namespace {

using json = nlohmann::json;

json to_json(store_era era)
{
    return era.value ? json(*era.value) : json(nullptr);
}

store_era to_era(const json& value)
{
    return value.is_null() ? store_era{} : store_era(value.get<std::uint64_t>());
}

} // namespace

json encode_eras(store_era known, const inventory_revisions& revisions)
{
    const bool is_uniform = std::ranges::all_of(revisions, [&](store_revision revision) {
        return revision.value == 0 || revision.era == known;
    });
    if (is_uniform) {
        return to_json(known);
    }
    json all = json::array({to_json(known)});
    for (const auto& revision : revisions) {
        all.push_back(to_json(revision.era));
    }
    return all;
}

store_era decode_eras(const json& eras, inventory_revisions& revisions)
{
    const auto known = to_era(eras.is_array() ? eras.at(0) : eras);
    for (std::size_t i = 0; i < revisions.size(); ++i) {
        auto& revision = revisions.at(i);
        if (revision.value != 0) {
            revision.era = eras.is_array() ? to_era(eras.at(i + 1)) : known;
        }
    }
    return known;
}

} // namespace almondquay
