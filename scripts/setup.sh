#!/usr/bin/env bash
# The environment for everything but service: tests, tools, the lab. Made anew when its list changes.
set -euo pipefail
cd "$(dirname "$0")/.."
cmp -s requirements-dev.txt .venv-dev/ready || {
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    .venv-dev/bin/pip -q install -r requirements-dev.txt
    cp requirements-dev.txt .venv-dev/ready
}
