#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps exec python3 -B review/13/case.py
