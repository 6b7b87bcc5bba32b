#!/bin/sh
# Make .venv match requirements.txt. The stamp is written last, so a half-made
# environment or changed requirements lead to a fresh one.
set -eu
cd "$(dirname "$0")/.."
if ! { [ -x .venv/bin/python ] && cmp -s requirements.txt .venv/requirements.stamp \
    && .venv/bin/python -c "import orjson, aiohttp, click, msgspec, structlog, pytricia"; }; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/python -m pip -q install --disable-pip-version-check -r requirements.txt
    cp requirements.txt .venv/requirements.stamp
fi
# The platform's file system is read-only: what is not compiled now is compiled anew at each start.
.venv/bin/python -m compileall -q robinhill || echo "build: robinhill is not compiled ahead" >&2
