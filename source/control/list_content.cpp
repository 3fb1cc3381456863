#include "control/list_content.h"

#include <algorithm>

#include <xxhash.h>

namespace almondquay {

namespace {

std::uint64_t hash_of(const std::string& name, store_revision revision)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), revision.value);
}

} // namespace

void set_entry(list_content& content, const std::string& name, store_revision revision)
{
    erase_entry(content, name);
    content.entries.emplace(name, revision);
    content.sum += hash_of(name, revision);
    content.unversioned += revision.value == 0 ? 1 : 0;
}

void erase_entry(list_content& content, const std::string& name)
{
    const auto found = content.entries.find(name);
    if (found == content.entries.end()) {
        return;
    }
    content.sum -= hash_of(name, found->second);
    content.unversioned -= found->second.value == 0 ? 1 : 0;
    content.entries.erase(found);
}

void retain_entries(list_content& content, const std::set<std::string>& names)
{
    std::vector<std::string> gone;
    for (const auto& [name, revision] : content.entries) {
        if (!names.contains(name)) {
            gone.push_back(name);
        }
    }
    for (const auto& name : gone) {
        erase_entry(content, name);
    }
}

store_revision revision_of(const list_content& content, const std::string& name)
{
    const auto found = content.entries.find(name);
    return found == content.entries.end() ? store_revision{} : found->second;
}

list_digest digest_of(const list_content& content)
{
    if (content.unversioned != 0) {
        return {};
    }
    return list_digest(std::max<std::uint64_t>(content.sum + content.entries.size() + 1, 1));
}

} // namespace almondquay
