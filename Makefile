# Two commands do everything on a fresh Debian machine: make test, make demo.
BUILD ?= build
JOBS ?= $(shell nproc)
SECONDS ?= 60
SECONDS_OF_SOAK = $(SECONDS)

.PHONY: deps build test demo soak fault-soak scenarios experiments lint \
  format bench prove-failing review

deps:
	scripts/install-dependencies

build: deps
	cmake --preset default -B $(BUILD)
	ninja -C $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

demo: build
	python3 testing/scenarios/demo.py $(BUILD)

# Fresh seeds for the randomised runs: make soak SECONDS=60
soak: build
	RAGWORT_SOAK_SECONDS=$(SECONDS_OF_SOAK) $(BUILD)/libs/journal/journal_tests
	RAGWORT_SOAK_SECONDS=$(SECONDS_OF_SOAK) $(BUILD)/libs/experts/experts_tests
	RAGWORT_SOAK_SECONDS=$(SECONDS_OF_SOAK) $(BUILD)/libs/rankgroup/rankgroup_tests

# Faults against the platform's programs: seeds 1 to 50, then fresh ones.
fault-soak: build
	python3 testing/soak/soak.py $(BUILD) --seeds 1-50 --jobs 4
	python3 testing/soak/soak.py $(BUILD) --fresh $(SECONDS) --jobs 4

scenarios: build
	python3 testing/scenarios/run_all.py $(BUILD)

experiments: build
	for name in placement routing shares capacity; do \
	  $(BUILD)/testing/experiments/ragwort-experiments $$name docs/results; done

bench: build
	python3 testing/scenarios/bench.py $(BUILD) docs/results/speed.md

prove-failing: build
	scripts/prove-failing $(BUILD)

# The cases of the independent review, five times each: make review TIMES=5
review: deps
	scripts/review $(or $(TIMES),5)

lint: build
	scripts/lint $(BUILD)

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i
