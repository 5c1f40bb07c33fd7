PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
READY := $(VENV)/.ready

.PHONY: demo test check format bench capacity golden matrix pairs soak clean

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install -qq --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(READY)
	$(RUN) -m standin.demo $(if $(KEEP),--keep)

test: $(READY)
	$(RUN) -m test.runner

check: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(READY)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

golden: $(READY)
	$(RUN) -m test.golden

matrix: $(READY)
	$(RUN) -m test.matrix

pairs: $(READY)
	PAIR_EXAMPLES=$(or $(EXAMPLES),200) $(RUN) -m test.runner test.matrix.test_pairs

soak: $(READY)
	$(RUN) -m soak run --first $(or $(FIRST),0) --count $(or $(COUNT),50)

bench: $(READY)
	$(RUN) -m bench $(NAMES)

capacity: $(READY)
	$(RUN) -m bench.capacity $(if $(JSON),--json $(JSON))

clean:
	rm -rf $(VENV) build *.egg-info
