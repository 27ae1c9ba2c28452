PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test lint measure wire format

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev,measure]'
	touch $(VENV)/ready

demo: $(VENV)/ready
	$(BIN)/python tools/demo.py

test: $(VENV)/ready
	$(BIN)/python tools/runtests.py

lint: $(VENV)/ready
	$(BIN)/black --check -q src tests tools
	$(BIN)/isort --check -q src tests tools
	$(BIN)/flake8 src tests tools
	$(BIN)/mypy

measure: $(VENV)/ready
	$(BIN)/python tools/measure.py
	$(BIN)/python tools/slopes.py

format: $(VENV)/ready
	$(BIN)/isort -q src tests tools
	$(BIN)/black -q src tests tools

wire:
	thrift --gen py:twisted,slots \
	    -out src/magnoliaflow idl/wire.thrift
