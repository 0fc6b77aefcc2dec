#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python without
# dependencies, so that it is enough to compile them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
