#pragma once

#include "config/diagnostic.h"

#include <string>
#include <string_view>
#include <vector>

/// INI parser that records the line number of every section heading and key for diagnostics.
///
/// A key may occur once in its section. A list may instead be written over several lines, each
/// "key[] = a, b"; the parts are concatenated in order.
namespace almondquay {

struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
    bool is_list_part = false; ///< written "key[] = ..."
};

/// "[grant mersin-a izmir-b ledger]" has kind "grant" and three names.
struct ini_section {
    std::string kind;
    std::vector<std::string> names;
    int line = 0;
    std::vector<ini_entry> entries;
};

struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
    diagnostics findings;
};

/// Splits `text` into sections and keys. Syntax errors become diagnostics (text_syntax,
/// line_too_long) and do not stop parsing. `file` is only used in diagnostics.
ini_document read_ini(std::string_view text, std::string file);

/// Splits "a, b c" at commas and whitespace, dropping empty parts.
std::vector<std::string> split_list(std::string_view text);

} // namespace almondquay
