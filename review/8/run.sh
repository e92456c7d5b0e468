#!/bin/sh
exec "$(dirname "$0")/../standins-2/run-case.sh" restart-turned-away "$(dirname "$0")"
