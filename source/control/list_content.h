#pragma once

#include "store/inventory.h"

#include <set>
#include <string>

/// What a list of the store contains at the revision that a host knows, regardless of how its
/// entries are used. Two hosts compare their copies by digest, which also shows entries that only
/// one of them knows to be deleted: a revision alone does not, since the revisions of the remaining
/// entries tell nothing about deletions.
namespace almondquay {

struct list_content {
    entry_revisions entries;
    std::uint64_t sum = 0;       ///< sum of the hashes of all entries
    std::size_t unversioned = 0; ///< entries whose revision is not known
};

void set_entry(list_content& content, const std::string& name, store_revision revision);

void erase_entry(list_content& content, const std::string& name);

/// Erases all entries that are not in `names`.
void retain_entries(list_content& content, const std::set<std::string>& names);

/// The revision of the entry's last change; 0 if it is not known.
store_revision revision_of(const list_content& content, const std::string& name);

/// Not known if the revision of an entry is not known.
list_digest digest_of(const list_content& content);

} // namespace almondquay
