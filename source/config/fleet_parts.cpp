#include "config/fleet_parts.h"

#include <utility>

#include <xxhash.h>

namespace almondquay {

namespace {

/// The fingerprint of a configuration is the sum of these, so that it can be kept up to date from
/// the changed parts alone.
std::uint64_t hash_of(std::string_view name, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(name.data(), name.size()));
}

std::uint64_t hash_of_part(const fleet_parts& parts, std::string_view name)
{
    const auto found = parts.texts.find(name);
    return found == parts.texts.end() ? 0 : hash_of(name, found->second);
}

} // namespace

void set_part(fleet_parts& parts, std::string name, std::string text)
{
    parts.fingerprint += hash_of(name, text) - hash_of_part(parts, name);
    parts.texts.insert_or_assign(std::move(name), std::move(text));
}

parts_change difference(const fleet_parts& before, const fleet_parts& after)
{
    parts_change change;
    for (const auto& [name, text] : after.texts) {
        const auto old = before.texts.find(name);
        if (old == before.texts.end() || old->second != text) {
            change.changed.emplace_hint(change.changed.end(), name, text);
        }
    }
    for (const auto& [name, text] : before.texts) {
        if (!after.texts.contains(name)) {
            change.removed.push_back(name);
        }
    }
    return change;
}

std::uint64_t fingerprint_after(const fleet_parts& before, const parts_change& change)
{
    auto fingerprint = before.fingerprint;
    for (const auto& [name, text] : change.changed) {
        fingerprint += hash_of(name, text) - hash_of_part(before, name);
    }
    for (const auto& name : change.removed) {
        fingerprint -= hash_of_part(before, name);
    }
    return fingerprint;
}

void apply_change(fleet_parts& parts, const parts_change& change)
{
    parts.fingerprint = fingerprint_after(parts, change);
    for (const auto& name : change.removed) {
        parts.texts.erase(name);
    }
    for (const auto& [name, text] : change.changed) {
        parts.texts.insert_or_assign(name, text);
    }
}

part_texts replaced_texts(const fleet_parts& parts, const parts_change& change)
{
    part_texts replaced;
    const auto add = [&](const std::string& name) {
        if (const auto found = parts.texts.find(name); found != parts.texts.end()) {
            replaced.insert(*found);
        }
    };
    for (const auto& [name, text] : change.changed) {
        add(name);
    }
    for (const auto& name : change.removed) {
        add(name);
    }
    return replaced;
}

} // namespace almondquay
