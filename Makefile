# Targets of the workspace; `make help` lists them.
SHELL := /bin/bash
VENV ?= .venv
BIN := $(VENV)/bin
PYTHON ?= python3
PROMPT ?= README.md
ONCE ?=
STAMP := $(VENV)/.installed

# The packages of this checkout come first, so one environment can serve
# several work trees.
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
export PYTHONPATH := $(subst $(SPACE),:,$(abspath $(wildcard packages/*) platform))
export PATH := $(abspath $(BIN)):$(PATH)

.PHONY: help install run test lint format bench bench-quick generate platform-day

help: ## Lists the targets.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) \
	  | sed -E 's/:.*## /\t/' | expand -t 14

install: $(STAMP) ## Creates the environment with the locked dependencies.

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install -q --no-compile --disable-pip-version-check \
	  -r requirements.lock
	@$(BIN)/python -m pip install -q --no-compile --disable-pip-version-check --no-deps \
	  --no-build-isolation $(foreach p,$(wildcard packages/*) platform,-e ./$(p))
	@touch $@

run: install ## Starts an embedded system and sends PROMPT=FILE (ONCE=1 ends).
	@$(BIN)/poplarwick-bench demo --prompt "$(PROMPT)" $(if $(ONCE),--once,)

test: install ## Runs everything that CI runs.
	@$(BIN)/python scripts/run_tests.py

lint: install ## Checks format, style, types and layering.
	@$(BIN)/python scripts/run_tests.py --only lint

format: install ## Rewrites the sources in the project's format.
	@$(BIN)/ruff format .
	@$(BIN)/ruff check --fix .

bench: install ## Runs all benchmarks with their bounds.
	@$(BIN)/poplarwick-bench run all --seed 1

bench-quick: install ## Runs all benchmarks in at most five minutes.
	@$(BIN)/poplarwick-bench run all --quick --seed 1

KIT ?= ../given/kit/more/system
BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
SITE ?= further/anodica-bs
DAY ?= quiet-1

platform-day: ## Plays DAY of SITE on the users' bench, where it is at hand.
	@if [ -x $(BENCH) ]; then \
	  $(BENCH) run $(KIT)/$(SITE).toml $(DAY); \
	else echo "platform-day: no bench under KIT=$(KIT)"; fi

generate: ## Regenerates the gRPC modules (requirements-generate.txt).
	@$(BIN)/python scripts/generate_wire.py
