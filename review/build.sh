#!/bin/sh
# Checks that the stand-ins can be started; they are Python scripts that need nothing but the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
for script in review/standin.py review/*/case.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script" || exit 1
done
