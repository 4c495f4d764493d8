#!/bin/sh
# Checks that the stand-ins and cases of the second review compile; they need only Python.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f standins-2 6 7 8 9 10
