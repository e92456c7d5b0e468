#!/bin/sh
exec "$(dirname "$0")/../standins-2/run-case.sh" turned-away-then-down "$(dirname "$0")"
