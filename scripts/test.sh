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
# Runs one part of the suite. With arguments, a part may have no tests.
run_part() {
    local status=0
    .venv-dev/bin/pytest -q "${known_red[@]}" "$@" || status=$?
    test "$status" -eq 0 || { test "$status" -eq 5 && test "$arguments" -gt 0; }
}
arguments=$#
# Each test has ports, addresses and files of its own; those that go on longest are shared out as workers get free.
run_part -m "not crowd" -n "${TEST_WORKERS:-4}" --dist worksteal "$@"
# The crowds measure memory: one at a time, and nothing beside them.
run_part -m crowd "$@"
# The hard cases in words; a checkout without any passes.
if compgen -G 'features/*.feature' > /dev/null; then
    .venv-dev/bin/behave --format progress features
fi
