#!/bin/sh
# Installs the libraries, when they have changed, and the package into target/deps.
set -eu
mkdir -p target
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    python3 -m pip install --quiet --upgrade --target target/deps \
        --requirement deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf target/deps/fuchsiadale
cp -R src/fuchsiadale target/deps/fuchsiadale
