VENV ?= .venv
PYTHON = $(VENV)/bin/python
# The site, caller and seconds of `make load` and `make soak`; the site has to run.
SETTINGS ?= examples/qasr/site.toml
TOKEN ?= secret-of-a-family
LOAD_S ?= 30
SOAK_S ?= 3600
# Seeds of `make fault-soak`.
SEEDS ?= 1 2 3 4
# Sets are walked in the same order on every run of the tests.
export PYTHONHASHSEED = 0

.PHONY: all setup format lint check test demo load soak fault-soak clean

all: test

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable ".[dev]"
	touch $@

format: setup
	$(PYTHON) -m black --quiet poplarhoist tests
	$(PYTHON) -m ruff check --quiet --fix poplarhoist tests

lint: setup
	$(PYTHON) -m black --quiet --check poplarhoist tests
	$(PYTHON) -m ruff check poplarhoist tests

check: setup
	$(PYTHON) -m pytest -q -n 4

test: lint check

demo: setup
	$(VENV)/bin/poplarhoist-demo

load: setup
	$(VENV)/bin/poplarhoist-load run --settings $(SETTINGS) --token $(TOKEN) --seconds $(LOAD_S)

soak: setup
	$(VENV)/bin/poplarhoist-load run --settings $(SETTINGS) --token $(TOKEN) --seconds $(SOAK_S) \
		--trace shift

fault-soak: setup
	$(PYTHON) -m tests.soak.run --seeds $(SEEDS)

clean:
	rm -rf $(VENV) build out *.egg-info
