PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup run test bench soak site-soak rolling capacity measures lint format clean

setup: $(VENV)/.done

$(VENV)/.done: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

run: setup  ## Send a small load to entries on the platform's stand-ins, then to our own fleet.
	$(BIN)/python -m tests.site.soak --calm
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/run-local

test: setup  ## Run every test, and those with crowds of callers one at a time.
	$(BIN)/python -m pytest -n 6 -m "not crowd" $(PYTEST_ARGS)
	$(BIN)/python -m pytest -m crowd $(PYTEST_ARGS) || test $$? -eq 5

bench: setup  ## Replay the comparison of policies; more with BENCH_ARGS="--seeds 5".
	$(BIN)/python scripts/bench.py $(BENCH_ARGS)

soak: setup  ## Draw pairs of faults under load from ten seeds; takes minutes.
	$(BIN)/python -m scripts.soak $(SOAK_ARGS)

site-soak: setup  ## Draw faults for entries on the platform's stand-ins, fifty seeds.
	$(BIN)/python -m tests.site.soak $(or $(SOAK_ARGS),--from-to 1 50)

rolling: setup  ## Stop the entries of a whole deployment in many ways under load.
	PYTHONPATH=src $(BIN)/python -m tests.site.rolling $(ROLLING_ARGS)

lint: setup  ## Formatter, linter and types, as CI runs them.
	$(BIN)/ruff format --check src tests scripts
	$(BIN)/ruff check src tests scripts
	$(BIN)/mypy

capacity: setup  ## Measure the slopes of docs/CAPACITY.md again.
	$(BIN)/python -m bramleyturn.bench.capacity
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m scripts.capacity_fleet

measures: setup  ## Write the worth by landing in docs/MEASURES.md from the journal.
	$(BIN)/python -m scripts.journal_table

format: setup
	$(BIN)/ruff format src tests scripts
	$(BIN)/ruff check --fix src tests scripts

clean:
	rm -rf $(VENV) build
