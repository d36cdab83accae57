#!/bin/sh
# Builds the stand-ins that the scripts start. They are plain Python without packages.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -m compileall -q standins
