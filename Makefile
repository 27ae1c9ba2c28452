PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

SEEDS ?= 50

.PHONY: demo test lint measure lab soak wire format

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev,measure]'
	touch $(VENV)/ready

demo: $(VENV)/ready
	$(BIN)/python tools/demo.py

test: $(VENV)/ready
	$(BIN)/python tools/runtests.py

lint: $(VENV)/ready
	$(BIN)/black --check -q src tests tools deploy
	$(BIN)/isort --check -q src tests tools deploy
	$(BIN)/flake8 src tests tools deploy
	$(BIN)/mypy

measure: $(VENV)/ready
	$(BIN)/python tools/measure.py
	$(BIN)/python tools/slopes.py

lab: $(VENV)/ready
	$(BIN)/python tools/lab.py --plot tools/labs/*.yaml

soak: $(VENV)/ready
	$(BIN)/python tools/soak.py --seeds $(SEEDS)

format: $(VENV)/ready
	$(BIN)/isort -q src tests tools deploy
	$(BIN)/black -q src tests tools deploy

wire:
	thrift --gen py:twisted,slots \
	    -out src/magnoliaflow idl/wire.thrift
