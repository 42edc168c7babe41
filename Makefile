# Every target installs into a local environment first; nothing else is needed
# but Python 3.11 and make.
PYTHON ?= python3
VENV ?= .venv
RUN := $(VENV)/bin/python

.PHONY: install format lint unit test demo serve bench fuzz clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check -e ".[dev]"
	touch $@

format: install
	$(RUN) -m ruff check --fix --quiet . ; $(RUN) -m black --quiet .

lint: install
	$(RUN) -m black --check --quiet .
	$(RUN) -m ruff check --quiet .

unit: install
	$(RUN) -m pytest

test: lint unit

demo: install
	$(RUN) -m standins.launcher demo

serve: install
	$(RUN) -m standins.launcher serve

bench: install
	$(RUN) -m bench

# The long fuzz profile; FUZZ_MINUTES and FUZZ_SEED change it.
fuzz: install
	$(RUN) -m proofs

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
