#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it after the build line of
# deploy/system.toml.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
exec go build -o target/review-world ./review/_world
