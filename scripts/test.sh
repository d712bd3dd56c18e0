#!/usr/bin/env bash
# Sets up, checks and tests; arguments go to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
.venv-dev/bin/ruff check .
.venv-dev/bin/mypy
.venv-dev/bin/pytest -q "$@"
