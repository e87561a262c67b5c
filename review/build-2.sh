#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, after the build of the
# deploy file: the daemon and the store's stand-in use the libraries that
# deploy/build.sh puts into target/deps, the rest needs Python only.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps/burdockdeal ] || bash deploy/build.sh
python3 -m compileall -q packages/standins/burdockdeal_standins \
    review/stage.py review/[6-9] review/10
