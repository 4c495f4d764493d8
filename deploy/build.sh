#!/bin/sh
# Puts what runs on an instance, and nothing else, below target/deps.
set -eu
if [ ! target/deps/.done -nt requirements-run.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --no-deps --target target/deps \
        --requirement requirements-run.txt
    python3 -m compileall -q target/deps || true
    touch target/deps/.done
fi
rm -rf target/deps/bramleyturn
cp -r src/bramleyturn target/deps/bramleyturn
python3 -m compileall -q target/deps/bramleyturn
