# Each target does all its own set-up; the machine needs Python 3.11 only.

PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready

.PHONY: demo test lint format dist bench clean

demo: $(READY)
	@$(BIN)/python -m examples.demo

test: $(READY)
	@$(BIN)/python -m tests.run

lint: $(READY)
	@$(BIN)/ruff format --check --quiet . || \
		{ echo 'run "make format" first'; exit 1; }
	@$(BIN)/ruff check --quiet .
	@$(BIN)/flake8 src tests benchmarks examples
	@cd src && ../$(BIN)/mypy --config-file ../pyproject.toml -p lifttrestle
	@echo 'lint: clean'

format: $(READY)
	@$(BIN)/ruff check --quiet --fix .
	@$(BIN)/ruff format --quiet .

dist: dist/lifttrestle.pyz

dist/lifttrestle.pyz: $(READY) $(shell find src -name '*.py')
	@mkdir -p dist
	@$(BIN)/shiv --quiet --reproducible --console-script lifttrestle \
		--output-file $@ --constraint constraints.txt .
	@echo 'dist: $@'

bench: $(READY)
	@$(BIN)/python -m benchmarks.latency
	@$(BIN)/python -m benchmarks.capacity

$(READY): pyproject.toml constraints.txt
	@$(PYTHON) -m venv .venv
	@$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	@touch $@

clean:
	rm -rf .venv build dist
