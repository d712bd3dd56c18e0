#!/bin/sh
# The stand-ins are plain Python of the standard library: nothing to build but their byte code.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins [0-9]
