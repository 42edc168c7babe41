# Every target installs into a local environment first; nothing else is needed
# but Python 3.11 and make.
PYTHON ?= python3
VENV ?= .venv
RUN := $(VENV)/bin/python

.PHONY: install format lint unit test demo serve bench fuzz clean
.PHONY: unit-hosts unit-forwarding unit-rest crowds

# Tests of several hosts wait more than they compute, so the groups run side by side.
HOST_TESTS := $(wildcard radishfield/forwarding/[a-k]*_test.py \
	radishfield/forwarding/le*_test.py)

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

# Crowds and endless answers load a process for its memory; nothing else runs beside them.
CROWD_TESTS := proofs/caller_crowds_test.py proofs/endless_answers_test.py \
	proofs/entry_crowds_test.py

unit: install
	$(MAKE) --no-print-directory --jobs=3 --output-sync=target \
		unit-hosts unit-forwarding unit-rest

unit-hosts: install
	$(RUN) -m pytest $(HOST_TESTS)

unit-forwarding: install
	$(RUN) -m pytest radishfield/forwarding $(HOST_TESTS:%=--ignore=%)

unit-rest: install
	$(RUN) -m pytest --ignore=radishfield/forwarding $(CROWD_TESTS:%=--ignore=%)

crowds: install
	$(RUN) -m pytest $(CROWD_TESTS)

test: lint
	$(MAKE) --no-print-directory unit
	$(MAKE) --no-print-directory crowds

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
