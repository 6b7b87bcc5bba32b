#!/bin/sh
# Builds the stand-ins of the second review: they are Python files that run in the project's own environment.
# Run it after the build of the deploy file; it needs no network and installs nothing.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2.py
for folder in 6 7 8 9 10; do
    if [ -d "review/$folder" ]; then
        .venv/bin/python -m compileall -q "review/$folder"
    fi
done
