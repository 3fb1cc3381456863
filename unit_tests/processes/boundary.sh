#!/usr/bin/env bash
# The boundary check passes on the source tree and detects each platform name that leaks into it.
. "$(dirname "$0")/checks.sh"
expect "no name of the platform leaks" tools/boundary
leak=$work/leak
mkdir -p "$leak"
while read -r name; do
    printf 'constexpr auto name = "%s";\n' "$name" >"$leak/leak.cpp"
    # Listed names that include a quote are meant to match string literals only.
    tools/boundary "$leak" >/dev/null && missed="${missed:-} $name"
done <platform/names.txt
expect "each leaked name is detected" equal "${missed:-}" ""
finish
