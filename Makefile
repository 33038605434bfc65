PYTHON ?= python3.11
VENV ?= .venv
RUN := $(VENV)/bin

.PHONY: demo test check format proto fuzz review soak bench binary clean

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN)/pip install --quiet --disable-pip-version-check -e '.[dev,plot]'
	touch $@

demo: $(VENV)/installed
	$(RUN)/basilwall demo

test: $(VENV)/installed
	$(RUN)/pytest -n 2 --dist loadfile --ignore=tests/soak_test.py
	$(RUN)/pytest tests/soak_test.py

# The cases that independent reviews found: those of the first with their
# controls, and of the later ones those that are mended.
MENDED := 7 8 9 10 11 12 13 15
review: $(VENV)/installed
	$(RUN)/python -m review
	for case in $(MENDED); do \
		PATH="$(CURDIR)/$(RUN):$$PATH" bash review/$$case/run.sh || exit 1; \
	done

# SEED=... draws the examples of an earlier run again.
SEED ?= $(shell date +%s)
fuzz: $(VENV)/installed
	@echo "seed: $(SEED)"
	$(RUN)/pytest -k Fleet --hypothesis-profile=fuzz --hypothesis-seed=$(SEED)

# SEEDS=50 AT_ONCE=4 for more; FIRST=... plays the seeds of an earlier run.
SEEDS ?= 10
AT_ONCE ?= 2
FIRST ?= $(SEED)
soak: $(VENV)/installed
	$(RUN)/python -m soak --seeds $(SEEDS) --at-once $(AT_ONCE) --first $(FIRST)

check: $(VENV)/installed
	$(RUN)/ruff format --check .
	$(RUN)/ruff check .
	$(RUN)/flake8 basilwall
	$(RUN)/mypy

format: $(VENV)/installed
	$(RUN)/ruff format .
	$(RUN)/ruff check --fix .

proto: $(VENV)/installed
	$(RUN)/python -m grpc_tools.protoc -I proto \
		--python_out=basilwall/peer/generated \
		--pyi_out=basilwall/peer/generated \
		--grpc_python_out=basilwall/peer/generated proto/peer.proto
	sed -i 's/^import peer_pb2/from basilwall.peer.generated import peer_pb2/' \
		basilwall/peer/generated/peer_pb2_grpc.py

binary: $(VENV)/installed
	$(RUN)/pex . -c basilwall -o dist/basilwall

clean:
	rm -rf $(VENV) dist build *.egg-info

bench: $(VENV)/installed
	$(RUN)/python -m bench
