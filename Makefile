PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/ready

.PHONY: setup test demo lint format features generate docs report mutations \
	bench-path bench-transport bench-policy bench-control bench-memory

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation \
		-e packages/core -e packages/node -e packages/client -e packages/testbed -e platform
	touch $(STAMP)

test: lint features docs

lint: setup
	$(BIN)/ruff format --check packages platform features benches
	$(BIN)/ruff check packages platform features benches
	$(BIN)/flake8 packages platform features benches
	$(BIN)/mypy packages/core/src packages/node/src packages/client/src packages/testbed/src platform/src

format: setup
	$(BIN)/ruff check --fix -q packages platform features benches
	$(BIN)/ruff format packages platform features benches

features: setup
	$(BIN)/python -m lavendermount_testbed features features platform/features

demo: setup
	$(BIN)/python -m lavendermount_testbed demo

docs: setup
	$(BIN)/python -m lavendermount_testbed reference --check
	$(BIN)/mkdocs build -q --strict

mutations: setup
	$(BIN)/python features/mutations.py

search: setup
	cd features && ../$(BIN)/python state_machines.py
	cd features && ../$(BIN)/python connection_fuzz.py 10000

report: setup
	$(BIN)/python benches/report.py

bench-path: setup
	$(BIN)/python benches/path.py

bench-transport: setup
	$(BIN)/python benches/transport.py

bench-policy: setup
	$(BIN)/python benches/policy.py

bench-control: setup
	$(BIN)/python benches/control.py
	$(BIN)/python platform/benches/preset_steps.py

bench-memory: setup
	$(BIN)/python benches/memory.py

generate: setup
	cd packages/node/src/lavendermountd/control && \
	../../../../../$(BIN)/python -m grpc_tools.protoc -I. --python_out=generated \
		--pyi_out=generated --grpc_python_out=generated control.proto && \
	sed -i 's/^import control_pb2 as/from lavendermountd.control.generated import control_pb2 as/' \
		generated/control_pb2_grpc.py
