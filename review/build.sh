#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
#
# The daemons and the project's store stand-in use the libraries that
# deploy/build.sh has put into target/deps; the rest needs Python only.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps/burdockdeal ] || bash deploy/build.sh
python3 -m compileall -q review packages/standins/burdockdeal_standins
