#!/usr/bin/env bash
# Sets up, and runs the main job on this machine: proxies, stand-in servers and a load, with live figures.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec .venv-dev/bin/python -m cloverrouter demo "$@"
