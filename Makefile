BUILD ?= build
CMAKE_FLAGS ?=
BENCH_FLAGS ?=

# Independent of the folder, so that clones share the cache.
LAUNCHER := "env;CCACHE_BASEDIR=$(CURDIR);CCACHE_NOHASHDIR=1;ccache"

.PHONY: all packages configure run test lint format bench soak slopes clean

all: configure
	ninja -C $(BUILD)

packages:
	support/install-packages

configure: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=$(LAUNCHER) $(CMAKE_FLAGS) > /dev/null

run: all
	support/demo $(BUILD)

test: all
	support/run-tests $(BUILD)

slopes: configure
	ninja -C $(BUILD) bluebellpass standin-object-api standin-engine standin-load slopes
	$(BUILD)/slopes

lint: configure
	support/lint $(BUILD)

# BENCH_FLAGS sets workloads, policies, deployment, seed and scale; see bench --help.
bench: configure
	ninja -C $(BUILD) bench path-delay
	$(BUILD)/path-delay
	$(BUILD)/bench $(BENCH_FLAGS)

format:
	git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '_generated\.h$$' | xargs clang-format -i

# Runs more random pairs of faults than the tests do, then the gateway soak. SEED and PAIRS can be
# set.
SEED ?= $(shell date +%s)
PAIRS ?= 1000
soak: all
	seq 0 5 | xargs -P 6 -I{} $(BUILD)/fault-matrix --pairs $(PAIRS) --seed $(SEED) \
	  --shards 6 --shard {}
	$(BUILD)/gateway-soak --seconds 20 --seeds $$(seq $(SEED) $$(($(SEED) + 4)))

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
