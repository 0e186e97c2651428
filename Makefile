BUILD ?= build
ASAN_BUILD ?= build-asan
LOG := $(BUILD)/build.log

.PHONY: all packages configure test lint asan demo bench bench-overload bench-health capacity

all: configure
	cmake --build $(BUILD)

packages:
	tools/install-packages

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null

test: all
	ctest --test-dir $(BUILD) --output-on-failure -j 8

lint: configure
	tools/lint $(BUILD)

asan: packages
	@cmake -S . -B $(ASAN_BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBAMBOOTACK_SANITIZE=ON >/dev/null
	cmake --build $(ASAN_BUILD)
	ctest --test-dir $(ASAN_BUILD) --output-on-failure -j 8

demo: all
	tools/demo $(BUILD)

# Figures of every overload scenario in virtual time.
bench-overload: configure
	cmake --build $(BUILD) --target bench-overload
	$(BUILD)/bench-overload

bench-health: all
	$(BUILD)/bench-health

# Slopes of the control tables, for docs/CAPACITY.md.
capacity: configure
	cmake --build $(BUILD) --target bench-ownership
	$(BUILD)/bench-ownership

# One scenario with real daemons: make bench SCENARIO=steady [BENCH_OPTIONS=...]
bench: all
	$(BUILD)/bambootack-bench --build $(BUILD) --scenario $(SCENARIO) $(BENCH_OPTIONS)
