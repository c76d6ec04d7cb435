#!/bin/sh
# Checks the stand-ins of the cases, which are plain Python; run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
