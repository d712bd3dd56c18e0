#!/usr/bin/env bash
# Sets up, checks and tests; arguments go to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
.venv-dev/bin/ruff check .
.venv-dev/bin/mypy
# Tests that fail for a known fault which is not mended yet are passed over here, and told: KNOWN-RED.txt.
known_red=()
if test -f KNOWN-RED.txt; then
    while IFS='|' read -r name cause issue; do
        test -n "$name" || continue
        known_red+=(--deselect "${name%% }")
        echo "known red, not run: $name:$cause($issue )"
    done < KNOWN-RED.txt
fi
# Each test has ports, addresses and files of its own; those that go on longest are shared out as workers get free.
.venv-dev/bin/pytest -q -n "${TEST_WORKERS:-4}" --dist worksteal "${known_red[@]}" "$@"
# The hard cases in words; a checkout without any passes.
if compgen -G 'features/*.feature' > /dev/null; then
    .venv-dev/bin/behave --format progress features
fi
