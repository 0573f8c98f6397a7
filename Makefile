# Two commands do everything on a fresh Debian 12 machine:
#   make demo   build, start the whole system on loopback, send requests
#   make test   the whole test suite
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build demo test prove bench bench-full format format-check lint clean
all: build

packages:
	tools/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja >$(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS) $(CTEST_ARGS)

demo: build
	examples/demo.sh $(BUILD)

# The whole system on loopback: about two minutes; a table at the end.
bench: build
	$(BUILD)/system_bench $(BUILD)

bench-full: build
	$(BUILD)/system_bench $(BUILD) --full

format:
	tools/format --write

format-check:
	tools/format --check

prove: build
	tools/prove $(BUILD)

lint: build
	tools/lint $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD).log
