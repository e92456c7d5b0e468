#!/bin/sh
exec "$(dirname "$0")/../standins-2/run-case.sh" restart-in-outage "$(dirname "$0")"
