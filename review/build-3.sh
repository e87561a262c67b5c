#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: the
# project's stand-in of the platform's store. The scripts' own stand-ins are
# plain Python in review/lab.py.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/standins/burdockdeal_standins target/review-3/
python3 -m compileall -q target/review-3
