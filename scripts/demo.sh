#!/usr/bin/env bash
# Sets up, and plays a small fleet on this machine with live figures; arguments go to the demo (--help lists them).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=.venv-dev
# The fleet needs few libraries; the client proxy's demo (--proxy) needs the lab's too.
if [[ " $* " != *" --proxy "* ]] && ! cmp -s requirements-dev.txt .venv-dev/ready; then
    folder=.venv-demo
    scripts/setup.sh requirements-system.txt "$folder"
else
    scripts/setup.sh
fi
exec "$folder/bin/python" -m cloverrouter demo "$@"
