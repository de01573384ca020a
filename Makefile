# Targets: all, demo, check, proofs, soak, bench, slopes, lint, format, clean.
# VARIANT is rel (default) or san (AddressSanitizer and
# UndefinedBehaviorSanitizer). The macro PROOF_SWITCHES, which san defines,
# compiles in the environment variable MPIN_GUARDS_OFF, which switches off single
# safety mechanisms (guards); for test builds only.

VARIANT ?= rel
B := build/$(VARIANT)
CC ?= gcc
PKGS := libprotobuf-c libcurl glib-2.0 jansson libxxhash zlib
LIBDIRS := common transport protocol store config ownership membership \
	placement routing limits platform
GENERATED := protocol/wire.pb-c.c protocol/wire.pb-c.h

# Evaluated once; empty before the packages are installed.
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)

WARN := -Wall -Wextra -Werror -Wno-unused-parameter
CPPFLAGS += -I. -D_GNU_SOURCE $(PKG_CFLAGS)
CFLAGS_rel := -O2 -g
CFLAGS_san := -O1 -g -fsanitize=address,undefined,float-cast-overflow \
	-fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined,float-cast-overflow -DPROOF_SWITCHES
CFLAGS += -std=gnu11 $(WARN) $(CFLAGS_$(VARIANT))
CXXFLAGS += -std=c++17 -Wall -Wextra -Werror $(CFLAGS_$(VARIANT))
LDLIBS := $(PKG_LIBS) -lev -lhttp_parser -lm -lpthread

LIBSRC := $(foreach d,$(LIBDIRS),$(wildcard $(d)/*.c))
LIBCXX := $(foreach d,$(LIBDIRS),$(wildcard $(d)/*.cc))
LIBOBJ := $(LIBSRC:%.c=$(B)/%.o) $(LIBCXX:%.cc=$(B)/%.o)
LIB := $(B)/libmpin.a

# All stand-ins share standins/common_*.c; each other file there is one program.
SI_COMMON := $(wildcard standins/common_*.c)
SI_SRC := $(filter-out $(SI_COMMON),$(wildcard standins/*.c))
SI_BIN := $(SI_SRC:standins/%.c=$(B)/mpin-%)
UNIT_BIN := $(patsubst test/unit/%.c,$(B)/test/%,$(wildcard test/unit/test_*.c))
BENCH_COMMON := $(wildcard bench/common_*.c)
BENCH_SRC := $(filter-out $(BENCH_COMMON),$(wildcard bench/*.c))
BENCH_BIN := $(BENCH_SRC:bench/%.c=$(B)/bench/%)
PROGRAMS := $(if $(wildcard daemon/*.c),$(B)/mpind) \
	$(if $(wildcard ctl/*.c),$(B)/mpinctl) $(SI_BIN)

all: programs
programs: $(PROGRAMS)
units: $(UNIT_BIN)
benches: $(BENCH_BIN)

deps:
	@tools/deps.sh

# These use sub-makes, so that pkg-config runs after the packages are installed.
demo: deps
	@$(MAKE) -s -j$$(nproc) VARIANT=rel programs
	@test/demo.sh $(CURDIR)/build/rel

check: deps
	@test/check.sh

proofs: deps
	@$(MAKE) -s -j$$(nproc) VARIANT=san programs units
	@test/proofs.sh $(CURDIR)/build/san

# SOAK_SEEDS is a range FIRST-LAST or a list of seeds.
SOAK_SEEDS ?= 1-50
soak: deps
	@$(MAKE) -s -j$$(nproc) VARIANT=rel programs
	@soak/run.sh $(CURDIR)/build/rel $(SOAK_SEEDS)

bench: deps
	@$(MAKE) -s -j$$(nproc) VARIANT=rel programs benches
	@bench/run.sh $(CURDIR)/build/rel

slopes: deps
	@$(MAKE) -s -j$$(nproc) VARIANT=rel programs
	@bench/slopes.sh $(CURDIR)/build/rel

C_FILES := $(filter-out $(GENERATED),$(wildcard */*.c */*.h test/*/*.c \
	test/*/*.h))
format:
	clang-format -i $(C_FILES) $(LIBCXX)

lint-format:
	@clang-format --dry-run -Werror $(C_FILES) $(LIBCXX)

TIDY := $(filter-out $(GENERATED),$(filter %.c,$(C_FILES)))
lint-tidy: $(TIDY:%=$(B)/tidy/%.ok)
$(B)/tidy/%.ok: % .clang-tidy $(wildcard */*.h)
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) >$@.log 2>&1 || \
		{ cat $@.log; exit 1; }
	@touch $@

lint-cppcheck:
	@cppcheck -q -j4 --std=c11 --enable=warning,portability \
		--inline-suppr --library=gtk --error-exitcode=1 \
		--suppress=missingInclude \
		--suppress=nullPointerRedundantCheck \
		--suppress=uninitvar -I. $(filter %.c,$(C_FILES))

lint: lint-format lint-tidy lint-cppcheck

protocol: protocol/wire.proto
	protoc-c --c_out=. protocol/wire.proto

$(LIB): $(LIBOBJ)
	@rm -f $@
	@ar rcs $@ $^

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

LINK = @mkdir -p $(@D) && $(CXX) $(CFLAGS_$(VARIANT)) -o $@ $(filter %.o,$^) \
	$(LIB) $(LDLIBS)

$(B)/mpind: $(patsubst %.c,$(B)/%.o,$(wildcard daemon/*.c)) $(LIB)
	$(LINK)
$(B)/mpinctl: $(patsubst %.c,$(B)/%.o,$(wildcard ctl/*.c)) $(LIB)
	$(LINK)
$(B)/mpin-%: $(B)/standins/%.o $(SI_COMMON:%.c=$(B)/%.o) $(LIB)
	$(LINK)
$(B)/test/test_%: $(B)/test/unit/test_%.o $(SI_COMMON:%.c=$(B)/%.o) $(LIB)
	$(LINK)
# Links mpinctl without its main, to test it in one process with a store.
$(B)/test/test_ctl: $(patsubst %.c,$(B)/%.o,$(filter-out ctl/main.c, \
	$(wildcard ctl/*.c)))
$(B)/test/test_explore: $(B)/test/unit/explore_world.o
$(B)/test/test_coord $(B)/test/test_coord_roster: $(B)/test/unit/coord_fixture.o
$(B)/bench/%: $(B)/bench/%.o $(BENCH_COMMON:%.c=$(B)/%.o) $(LIB)
	$(LINK)

# Fuzzers need clang's runtime. They share objects of the libraries with coverage
# instrumentation.
FUZZ_FLAGS := -O1 -g -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined
FUZZ_BIN := $(patsubst test/fuzz/%.c,$(B)/fuzz/%,$(wildcard test/fuzz/fuzz_*.c))
FUZZ_OBJ := $(LIBOBJ:$(B)/%=$(B)/fuzz-obj/%)
fuzzers: $(FUZZ_BIN)
$(B)/fuzz-obj/%.o: %.c
	@mkdir -p $(@D)
	@clang -std=gnu11 $(FUZZ_FLAGS) -fsanitize=fuzzer-no-link $(CPPFLAGS) \
		-MMD -MP -c -o $@ $<
$(B)/fuzz-obj/%.o: %.cc
	@mkdir -p $(@D)
	@clang++ -std=c++17 $(FUZZ_FLAGS) -fsanitize=fuzzer-no-link \
		$(CPPFLAGS) -MMD -MP -c -o $@ $<
$(B)/fuzz/%: $(B)/fuzz-obj/test/fuzz/%.o $(FUZZ_OBJ)
	@mkdir -p $(@D)
	@clang++ $(FUZZ_FLAGS) -fsanitize=fuzzer -o $@ $^ $(LDLIBS)

clean:
	rm -rf build

.PHONY: all programs units benches deps demo check proofs soak bench slopes format \
	lint lint-format lint-tidy lint-cppcheck protocol fuzzers clean
.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)
