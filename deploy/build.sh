#!/usr/bin/env bash
# Puts the daemon and what it needs into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/.installed -nt deploy/requirements.txt ] ||
    [ ! target/.installed -nt constraints.txt ]; then
    python3 -m pip install --quiet --upgrade --target target/deps \
        --constraint constraints.txt --requirement deploy/requirements.txt
    touch target/.installed
fi
rm -rf target/deps/burdockdeal
cp -r packages/burdockdeal/burdockdeal target/deps/burdockdeal
# Where the tree is read-only, a start could not keep what it compiles.
python3 -m compileall -q target/deps/burdockdeal
