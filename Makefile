PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
USERS ?= prairie
SEED ?= 1
SECONDS ?= 30

.PHONY: demo test lint generate check build measure measure-slopes models matrix soak experiment clean

build: dist/lycheepin

$(VENV)/ready: requirements-dev.lock
	@command -v $(PYTHON) >/dev/null || { echo "missing: $(PYTHON) (set PYTHON=...)"; exit 1; }
	@$(PYTHON) -c 'import sys, venv; sys.exit(sys.version_info[:2] < (3, 11))' || { echo "missing: Python 3.11 or newer with the venv module"; exit 1; }
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements-dev.lock
	@touch $@

dist/lycheepin: $(VENV)/ready requirements.lock pyproject.toml $(shell find lycheepin -name '*.py')
	@mkdir -p build/site dist
	@rm -rf build/site build/lib
	$(BIN)/pip install -q --require-hashes --no-deps -r requirements.lock --target build/site
	cp -r lycheepin build/site/
	$(BIN)/shiv --site-packages build/site --reproducible -e lycheepin.cli.commands:main -p '/usr/bin/env python3.11' -o $@

demo: dist/lycheepin
	@dist/lycheepin version
	@$(BIN)/python -m standins.demo $(USERS)

generate: $(VENV)/ready
	$(BIN)/python tools/generate.py

test: $(VENV)/ready
	$(BIN)/python -m tools.run_tests

lint: $(VENV)/ready
	$(BIN)/black -q --check lycheepin standins tools tests models matrix measure soak experiments
	$(BIN)/ruff check -q lycheepin standins tools tests models matrix measure soak experiments
	$(BIN)/mypy
	$(BIN)/python tools/generate.py --check

measure: dist/lycheepin
	@$(BIN)/python -m measure

measure-slopes: dist/lycheepin
	@$(BIN)/python -m measure.slopes

models: $(VENV)/ready
	@$(BIN)/python -m models

matrix: dist/lycheepin
	@$(BIN)/python -m matrix

soak: $(VENV)/ready
	@$(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)

experiment: $(VENV)/ready
	@$(BIN)/python -m experiments

clean:
	rm -rf $(VENV) build dist target
