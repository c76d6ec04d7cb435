#!/bin/sh
# Builds what the scripts of the second review start beside the softswitch: stand-ins in Python, in
# review/common2, which need nothing but the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the command build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review/common2 review/6 review/7 review/8 review/9
