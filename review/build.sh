#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Run it after the build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin
