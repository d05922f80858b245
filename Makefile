VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup test check demo measure soak daemon clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

setup: $(STAMP)

test: setup
	$(PYTHON) -m pytest -q

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

demo: setup
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash examples/demo.sh

measure: setup
	$(VENV)/bin/eelgrasslock-measure

soak: setup
	$(PYTHON) -m pytest -q -m soak

daemon: setup
	$(VENV)/bin/eelgrasslockd --settings examples/daemon
