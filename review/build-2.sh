#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs. They need no build beyond that
# of the deploy file; this checks that they compile and find their libraries there.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/harness-2 PYTHONDONTWRITEBYTECODE=1 \
    python3 -S -P -c 'import harness'
for file in review/harness-2/*.py review/6/*.py review/7/*.py review/8/*.py \
    review/9/*.py review/10/*.py; do
    if [ -e "$file" ]; then
        python3 -S -P -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done
