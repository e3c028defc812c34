# Entry points for people and CI.  CMake does the build.
BUILD ?= build
TYPE ?= RelWithDebInfo
SANITIZE ?=
JOBS ?= $(shell nproc)
PACKAGES = build-essential cmake pkg-config clang-format clang-tidy mandoc \
	liburcu-dev libcivetweb-dev libtirpc-dev rpcsvc-proto libpopt-dev \
	libglib2.0-dev libjson-c-dev libcurl4-openssl-dev libck-dev \
	libxxhash-dev libev-dev libhttp-parser-dev python3 gnuplot-nox

all: build

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  { apt-get update -qq && \
	    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES); }

build: packages
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=$(TYPE) \
	  -DSANITIZE=$(SANITIZE) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '/gen/' | \
	  xargs clang-format -i

lint: build
	@sh test/lint $(BUILD)

# The sanitizer builds run the tests labelled for them.
check: build lint
	@$(MAKE) --no-print-directory BUILD=build-asan TYPE=Debug \
	  SANITIZE=address,undefined build
	@ctest --test-dir build-asan -L asan --output-on-failure -j 4
	@$(MAKE) --no-print-directory BUILD=build-tsan TYPE=Debug \
	  SANITIZE=thread build
	@ctest --test-dir build-tsan -L tsan --output-on-failure -j 4
	@[ ! -f KNOWN-RED.txt ] || { echo "known to fail, not run:"; \
	  cat KNOWN-RED.txt; }
	@ctest --test-dir $(BUILD) -LE known-red --output-on-failure -j 4

demo: build
	@sh test/run/demo $(BUILD)

bench: build
	@sh test/bench/bench $(BUILD)

capacity: build
	@sh test/bench/capacity $(BUILD)

journal-report:
	@python3 test/bench/journal.py journal docs/rounds.svg > docs/rounds.md

# SEEDS="1 2 3": runs of the fault soak by hand.
SEEDS ?= 1
soak: build
	@for seed in $(SEEDS); do \
	  python3 test/platform/soak.py $(BUILD) $$seed 20 || exit 1; done

clean:
	@rm -rf build build-asan build-tsan

.PHONY: all packages build format lint check demo bench capacity journal-report soak clean
