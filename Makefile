PYTHON ?= python3
BIN := .venv/bin

.PHONY: bench demo docs test format environment

environment: .venv/.ready

.venv/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch .venv/.ready

demo: environment
	PATH="$(CURDIR)/$(BIN):$$PATH" bash tools/demo.sh

test: environment
	$(BIN)/ruff format --check cranberryglade
	$(BIN)/ruff check cranberryglade
	$(BIN)/python -m cranberryglade.tools.checks

bench: environment
	PATH="$(CURDIR)/$(BIN):$$PATH" bash tools/bench.sh

docs: environment
	$(BIN)/python -m cranberryglade.tools.reference

format: environment
	$(BIN)/ruff format cranberryglade
	$(BIN)/ruff check --fix cranberryglade
