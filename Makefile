# Every target sets itself up: the environment is made from requirements.lock when it is missing
# or older than the lock. With VENV=DIR an environment that is already installed is used.

PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
READY := $(VENV)/bin/pytest
JOBS ?= 4
SECONDS ?= 60
SEEDS ?= 1,2,3,4,5
SHIV := 1.0.8
CROWD := tests/crowd
SHEBANG ?= /usr/bin/env python3.11

# Tests of faults that are known and not mended yet, passed over; KNOWN_RED= runs them too.
KNOWN_RED ?= $(shell awk -F ' [|] ' 'NF {print "--deselect \047" $$1 "\047"}' KNOWN-RED.txt 2>/dev/null)

.PHONY: run test bench bench-parts soak platform-soak binary lint

$(READY): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	touch $(READY)

# Everything on loopback in one process; ONCE=1 runs the worked example and stops.
run: $(READY)
	$(PY) -m sapphirelead dev $(if $(ONCE),--once)

# The tests in tests/crowd measure the memory of processes and run one at a time, after the others.
test: $(READY)
	$(PY) -m pytest -n $(JOBS) --ignore=$(CROWD) $(KNOWN_RED); first=$$?; \
	  $(PY) -m pytest $(CROWD) $(KNOWN_RED) && exit $$first

# The policies through real processes, about 20 minutes; writes docs/MEASUREMENTS.md.
bench: $(READY)
	$(PY) -m bench.bench_policy --seeds=1,2,3 --markdown=docs/MEASUREMENTS.md

# Every other bench; each prints its own table.
bench-parts: $(READY)
	@set -e; for name in decision routing overload interference config path capacity; do \
	  echo "== $$name"; $(PY) -m bench.bench_$$name; done

# Random failures of all kinds together, SECONDS for each seed, judged by the tests' checker.
soak: $(READY)
	$(PY) -m bench.soak --seconds $(SECONDS) --seeds $(SEEDS) --folder dist/soak

# The same for the programs of the users' platform; SEEDS=1-50 is a range, SEEDS=kept plays those
# that failed once.  Logs and histories stay in the folder.
platform-soak: $(READY)
	rm -rf dist/platform-soak
	$(PY) -m bench.platform_soak --seconds $(SECONDS) --seeds $(SEEDS) --folder dist/platform-soak

# One file, dist/sapphirelead.pyz, checked by starting it.  The bundler has an environment of its
# own: nothing that runs or tests the product needs it.
binary: $(READY)
	mkdir -p dist
	test -x dist/bundler/bin/shiv || { $(PYTHON) -m venv dist/bundler && \
	  dist/bundler/bin/pip install -q --disable-pip-version-check shiv==$(SHIV); }
	dist/bundler/bin/shiv -q -c sapphirelead --compressed --reproducible -p "$(SHEBANG)" \
	  -o dist/sapphirelead.pyz . --constraint requirements.lock --disable-pip-version-check
	$(PY) -m bench.check_binary dist/sapphirelead.pyz

lint: $(READY)
	$(VENV)/bin/black --check -q .
	$(VENV)/bin/ruff check -q .
	$(VENV)/bin/mypy
