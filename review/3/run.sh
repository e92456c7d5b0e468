#!/bin/sh
exec sh "$(dirname "$0")/../standins/run-case.sh" "$(dirname "$0")"
