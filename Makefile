# Makefile: the few commands of the README; meson does the work.
BUILD ?= build
SOURCES = $(shell git ls-files '*.c' '*.h')

.PHONY: all deps build demo test bench model lint asan format clean

all: build

deps:
	@./deps.sh

build: deps
	@[ -f $(BUILD)/build.ninja ] || meson setup $(BUILD) >/dev/null
	@ninja -C $(BUILD) >/dev/null || ninja -C $(BUILD)

demo: build
	@KEEP=$(KEEP) demo/scene.sh $(BUILD)

test: build model
	@meson test -C $(BUILD) --print-errorlogs

clean:
	rm -rf build build-asan build-bench
