#!/bin/sh
# Builds the stand-ins of the cases: Python modules without dependencies.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/standins
