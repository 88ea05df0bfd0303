BUILD ?= build
CMAKE_FLAGS ?=

.PHONY: all packages configure run test lint format bench soak slopes clean

all: configure
	ninja -C $(BUILD)

packages:
	support/install-packages

configure: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache $(CMAKE_FLAGS) > /dev/null

run: all
	support/demo $(BUILD)

test: all
	support/run-tests $(BUILD)

slopes: configure
	ninja -C $(BUILD) bluebellpass standin-object-api standin-engine standin-load slopes
	$(BUILD)/slopes

lint: configure
	support/lint $(BUILD)

format:
	git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '_generated\.h$$' | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
