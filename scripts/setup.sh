#!/usr/bin/env bash
# Makes an environment from a list of requirements, anew when the list changes.
#   scripts/setup.sh [LIST FOLDER]    default: all but service, that is tests, tools and the lab, in .venv-dev
set -euo pipefail
cd "$(dirname "$0")/.."
list=${1:-requirements-dev.txt}
folder=${2:-.venv-dev}
cmp -s "$list" "$folder/ready" || {
    rm -rf "$folder"
    python3 -m venv "$folder"
    "$folder/bin/pip" -q install -r "$list"
    cp "$list" "$folder/ready"
}
