#!/bin/sh
exec "$(dirname "$0")/../standins-2/run-case.sh" reload-to-slow "$(dirname "$0")"
