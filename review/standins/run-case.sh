#!/bin/sh
# Runs the case of the folder $1: starts its driver, which starts the balancer with the deploy file's command.
set -u
folder=$(cd "$1" && pwd)
ROOT=$(cd "$folder/../.." && pwd)
driver="$ROOT/build/review/case$(basename "$folder")"
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
if [ ! -x "$driver" ] || [ -z "$RUN" ] || [ ! -x "$ROOT/build/headrouter" ]; then
    echo "could not run: build by deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
RECORD="$folder/record.txt"
export ROOT RUN FOLDER RECORD
driver_pid=
trap '[ -z "$driver_pid" ] || kill "$driver_pid" 2> /dev/null; rm -rf "$FOLDER"' EXIT
trap 'exit 2' INT TERM HUP
# The balancer ends with the driver that started it, however the driver ends.
timeout -k 1 115 "$driver" &
driver_pid=$!
wait "$driver_pid"
code=$?
driver_pid=
case $code in
    0 | 1 | 2) exit $code ;;
    *) exit 2 ;;
esac
