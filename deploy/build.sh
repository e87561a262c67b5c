#!/usr/bin/env bash
# Installs the daemon and its dependencies into target/deps.
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
# Compiled here because a daemon that starts from a read-only tree cannot
# save its bytecode.
python3 -m compileall -q target/deps/burdockdeal
