#!/usr/bin/env bash
# Tests tools/check-docs on a small tree: a clean page passes; each missing path, test and identifier is reported with its
# page and line.
set -euo pipefail
tool=$1/tools/check-docs
tree=$(mktemp -d)
trap 'rm -rf "$tree" "$tree.out"' EXIT
mkdir -p "$tree/src/policy" "$tree/tests/policy" "$tree/tools" "$tree/docs/incidents"
cat > "$tree/src/policy/placement.cpp" <<'P'
ServerIndex Placement::choose(const Request& request) { return log("server_chosen"), settings["maxLegs"]; }
P
echo 'class SlowStart { double factor() const; };' > "$tree/src/policy/slow_start.h"
echo 'TEST(Placement, ChoosesTheEmptiest) {}' > "$tree/tests/policy/test_placement.cpp"
touch "$tree/tools/lint"
cat > "$tree/README.md" <<'P'
# The home page
`src/policy/placement.cpp` holds `Placement::choose` and `maxLegs`; [the map](docs/map.md), tools/lint and test_placement.
`src/policy/NAME.h`, `tests/FOLDER/test_NAME.cpp`, `src/policy/slow_start.*`, `slow_start.h`, `Placement.ChoosesTheEmptiest`
[The map](docs/map.md#where-it-is), [again](#the-home-page)
Passed over: `0.25`, `BUSY`, `tools/lint --all`, `build/headrouter`, `kill -TERM 1 > out.txt`, `server_chosen count=7`, `a-b`, `f(...)`

    run src/no/such.cpp test_nothing

```
tools/nothing `gone_name`
```
P
printf '## Where it is?\n\nThe map: `slow_start.h`, `SlowStart::factor`, [home](../README.md).\n' > "$tree/docs/map.md"
echo '`gone_type` and src/gone.cpp, as they were then' > "$tree/docs/results.md"
cp "$tree/docs/results.md" "$tree/docs/incidents/one.md"

# Checks that the tool exits with the given code and prints exactly the given lines.
expect() {
    local wanted=$1 lines=$2 got=0
    "$tool" "$tree" > "$tree.out" 2> /dev/null || got=$?
    if [ "$got" -ne "$wanted" ] || [ "$(cat "$tree.out")" != "$lines" ]; then
        echo "expected exit code $wanted and output '$lines', got exit code $got and output:" >&2
        cat "$tree.out" >&2
        exit 1
    fi
}
# Checks that a line appended to a page is reported with its line number and the given error.
expect_reported() {
    local page=$1 line=$2 words=$3 number
    cp "$tree/$page" "$tree.page"
    echo "$line" >> "$tree/$page"
    number=$(wc -l < "$tree/$page")
    expect 1 "$page:$number: $words"
    mv "$tree.page" "$tree/$page"
}

expect 0 ''
expect_reported README.md 'see `src/policy/gone.cpp`' "'src/policy/gone.cpp' no such file or folder"
expect_reported README.md 'see src/gone/ for it' "'src/gone/' no such file or folder"
expect_reported docs/map.md '[there](gone.md)' "'gone.md' no such file or folder"
expect_reported README.md '[there](docs/map.md#gone)' "'docs/map.md#gone' no such section"
expect_reported docs/map.md '[there](../README.md#where-it-is)' "'../README.md#where-it-is' no such section"
expect_reported docs/map.md '`src/gone/NAME.h`' "'src/gone/NAME.h' no such file or folder"
expect_reported docs/map.md '`placement.h`' "'placement.h' no file has this name"
expect_reported docs/map.md 'shown by `test_gone`' "'test_gone' no such test"
expect_reported docs/map.md '| test_gone: a_case |' "'test_gone' no such test"
expect_reported README.md '`tools/gone`' "'tools/gone' no such file or folder"
expect_reported README.md '`Placement::gone`' "'Placement::gone' does not occur in the sources"
expect_reported README.md '`SlowStart::choose`' "'SlowStart::choose' does not occur in the sources"
expect_reported docs/map.md 'the function `refuse()` of it' "'refuse()' does not occur in the sources"
expect_reported docs/map.md '`settings.maxTries`' "'settings.maxTries' does not occur in the sources"
expect_reported docs/map.md '`server_gone reason=7`' "'server_gone' does not occur in the sources"
expect_reported docs/map.md 'an open `choose' "'\`' is not closed in its line"
# Each of several errors is reported.
echo '`src/one.h` and `GoneType`' >> "$tree/README.md"
echo '`two_gone`' >> "$tree/docs/map.md"
expect 1 "README.md:12: 'src/one.h' no such file or folder
README.md:12: 'GoneType' does not occur in the sources
docs/map.md:4: 'two_gone' does not occur in the sources"
