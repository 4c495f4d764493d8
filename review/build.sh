#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need only Python.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f standins [1-5]
