#!/bin/sh
# run-case.sh NAME FOLDER: plays one case of the second review, with the commands of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
name=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
cases=review/build-standins-2/cases
run=$(sed -n 's/^run *= *"\(.*\)".*$/\1/p' deploy/balancer.toml)
if [ ! -x "$cases" ] || [ ! -x build/headrouter ] || [ -z "$run" ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
player=
trap 'if [ -n "$player" ]; then kill -KILL "$player" 2>/dev/null; fi; rm -rf "$temporary"; exit 2' INT TERM HUP
"$cases" "$name" "$folder" "$temporary" "$run" &
player=$!
wait "$player"
result=$?
if [ -n "$KEEP" ]; then mkdir -p "$KEEP" && cp -r "$temporary/." "$KEEP"; fi
rm -rf "$temporary"
case $result in
    0 | 1) ;;
    *) result=2 ;;
esac
grep -E 'result:|answers:' "$folder/record.txt"
exit $result
