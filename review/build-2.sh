#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin. The routers are built by the build line
# of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
exec go build -o review/bin/standin2 ./review/standin2
