#!/usr/bin/env bash
# Sets up, checks and tests; arguments go to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
.venv-dev/bin/ruff check .
.venv-dev/bin/mypy
# Each test has ports, addresses and files of its own; those that go on longest are shared out as workers get free.
.venv-dev/bin/pytest -q -n "${TEST_WORKERS:-4}" --dist worksteal "$@"
# The hard cases in words; a checkout without any passes.
if compgen -G 'features/*.feature' > /dev/null; then
    .venv-dev/bin/behave --format progress features
fi
