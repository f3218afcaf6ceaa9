# Makefile: the few commands of the README; meson does the work.
BUILD ?= build
SOURCES = $(shell git ls-files '*.c' '*.h')

.PHONY: all deps build demo test soak bench model lint asan format clean

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

# Random faults on real processes, fresh seeds; SEED=N plays one again.
SEEDS ?= 50
soak: build
	@python3 tests/soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS) --kept)
	@python3 tests/answer_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/crash_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/limit_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/notice_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/partition_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/versions_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/resumed_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/parts_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))
	@python3 tests/mixed_soak.py $(BUILD) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))

model: deps
	@spec/run.sh

bench: deps
	@[ -f build-bench/build.ninja ] || meson setup build-bench --buildtype=release >/dev/null
	@ninja -C build-bench >/dev/null || ninja -C build-bench
	@bench/run.sh build-bench

lint: deps
	@clang-format --dry-run -Werror $(SOURCES)
	@cppcheck --enable=warning,performance,portability --error-exitcode=1 \
	  --quiet --inline-suppr --std=c11 -j8 -Ipackages -I. \
	  '-Djson_array_foreach(a,i,v)=for(i=0;(v=json_array_get(a,i));i++)' \
	  '-Djson_object_foreach(o,k,v)=for(k="";(v=json_object_get(o,k));)' \
	  --suppress=missingIncludeSystem packages platform bin fakes scenario bench
	@echo lint: clean

format:
	@clang-format -i $(SOURCES)

# The whole suite under the address and undefined-behaviour sanitizers.
asan: deps
	@[ -f build-asan/build.ninja ] || meson setup build-asan \
	  -Db_sanitize=address,undefined -Db_lundef=false \
	  -Dc_args=-fno-sanitize-recover=undefined >/dev/null
	@ninja -C build-asan >/dev/null || ninja -C build-asan
	@ASAN_OPTIONS=detect_leaks=0 meson test -C build-asan --print-errorlogs \
	  --timeout-multiplier 10

clean:
	rm -rf build build-asan build-bench
