#pragma once

#include "store/inventory.h"

#include <nlohmann/json.hpp>

/// Codec of the eras of revisions, which messages carry apart from the numbers: earlier versions
/// know only the numbers.
namespace almondquay {

/// One number if all revisions are of the era that the sender knows, otherwise an array of that era
/// and of those of the revisions. Null stands for none.
nlohmann::json encode_eras(store_era known, const inventory_revisions& revisions);

/// Sets the eras of the revisions and returns the one that the sender knows. Throws json::exception
/// if the value has another form.
store_era decode_eras(const nlohmann::json& eras, inventory_revisions& revisions);

} // namespace almondquay
