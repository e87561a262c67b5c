PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*/pyproject.toml)
SOURCES := conftest.py packages tests

.PHONY: install demo test lint format bench slopes

install: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PACKAGES)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools
	$(BIN)/pip install --quiet --constraint constraints.txt \
	    --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps \
	    --editable packages/burdockdeal --editable packages/operator \
	    --editable packages/standins --editable packages/bench
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m burdockdeal_bench.demo $(ARGS)

test: $(STAMP)
	$(BIN)/python -m pytest $(ARGS)

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

bench: $(STAMP)
	$(BIN)/python -m burdockdeal_bench.main $(ARGS)

slopes: $(STAMP)
	$(BIN)/python -m burdockdeal_bench.slopes $(ARGS)
