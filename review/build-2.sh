#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start beside the program of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2/ ./review/_stage
