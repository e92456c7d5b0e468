#!/bin/sh
exec "$(dirname "$0")/../standins-2/run-case.sh" reload-turned-away "$(dirname "$0")"
