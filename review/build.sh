#!/bin/sh
# The stand-ins are Python modules that use only the libraries of the deploy file, which
# its build has installed into target/deps. Nothing has to be compiled; this checks that
# the stand-ins can be loaded with them.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review \
    python3 -c "import common.scenario"
