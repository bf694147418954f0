# Every target makes what it needs; PYTHON names the interpreter to build from.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint format load pages clean

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/chivepond demo

test: $(READY)
	$(BIN)/python -m pytest

lint: $(READY)
	$(BIN)/ruff format --check chivepond
	$(BIN)/flake8 chivepond

format: $(READY)
	$(BIN)/ruff format chivepond

load: $(READY)
	$(BIN)/chivepond-load --short --out reports experiments/*.yaml

# Writes the pages that are tables of the code.
pages: $(READY)
	$(BIN)/chivepond config defaults > docs/SETTINGS.md
	$(BIN)/chivepond events > docs/EVENTS.md

clean:
	rm -rf $(VENV) build reports
