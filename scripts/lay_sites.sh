#!/usr/bin/env bash
# Lays what a site file needs beside it into deploy/sites/, from the folder of a site that has it.
#   scripts/lay_sites.sh FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
from=${1:?"the folder that holds real.json, wire.json and unlock.txt"}
for name in real.json wire.json unlock.txt; do
    test -f "$from/$name" || { echo "$from/$name is missing" >&2; exit 2; }
    cp "$from/$name" "deploy/sites/$name"
done
