#!/usr/bin/env bash
# The boundary check passes, and notices each name of the platform when it leaks.
. "$(dirname "$0")/checks.sh"
expect "no name of the platform leaks" tools/boundary
leak=$work/leak
mkdir -p "$leak"
while read -r name; do
    printf 'constexpr auto name = "%s";\n' "$name" >"$leak/leak.cpp"
    # Names with a quote in the list are only meant inside a text.
    tools/boundary "$leak" >/dev/null && missed="${missed:-} $name"
done <platform/names.txt
expect "each leaked name is noticed" equal "${missed:-}" ""
finish
