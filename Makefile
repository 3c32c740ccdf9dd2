# make demo: installs the required packages, builds, and serves and bills sample requests.
# make test: installs the required packages, builds with sanitizers, and runs every test.
SHELL := /bin/bash
RELEASE := build/release
TEST := build/test

.PHONY: all setup release demo test bench check format clean

all: release

setup:
	@.ci/setup

release: setup
	@cmake -S . -B $(RELEASE) -G Ninja >/dev/null
	@cmake --build $(RELEASE)

demo: release
	@scripts/demo.sh $(RELEASE)/bin

test: setup
	@cmake -S . -B $(TEST) -G Ninja -DHORNBEAMSPOOL_SANITIZE=ON >/dev/null
	@cmake --build $(TEST)
	@scripts/test.sh $(TEST)

bench: release
	@$(RELEASE)/bin/bench

# Runs the format and lint checks of CI.
check: setup
	@scripts/check.sh $(TEST)

format:
	@git ls-files '*.cc' '*.h' | xargs clang-format -i

clean:
	@rm -rf build
