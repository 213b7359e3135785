#!/bin/sh
# Checks that the stand-ins of review/harness-3 load with the libraries of the build.
# They are Python, so that nothing has to be compiled. Run after deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/harness-3 python3 -B -c "import standins"
