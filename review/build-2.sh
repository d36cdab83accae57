#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are plain Python
# without dependencies, and a script runs them in its own process.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/standins-2 review/6 review/7 review/8 review/9 review/10
