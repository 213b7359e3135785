PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint bench cluster proto

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(BIN)/fuchsiadale dev --port 0

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check src tests tools bench
	$(BIN)/ruff check src tests tools bench
	$(BIN)/mypy
	$(BIN)/lint-imports

bench: setup
	$(BIN)/python -m bench.main

cluster: setup
	$(BIN)/python -m tools.cluster

proto: setup
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
		--grpc_python_out=. --pyi_out=. fuchsiadale/peers/peer.proto fuchsiadale/cell/cell.proto
