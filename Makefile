# lavenderward: build, test and demo. `make demo` and `make check` are the
# two set-up commands (README.md); each first installs what it needs.

CC ?= gcc
CXX ?= g++
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -Isrc -I/usr/include/neon
CXXFLAGS ?= -O2 -g
CXXFLAGS += -std=c++17 -Wall -Wextra -Werror -Isrc
# options for compiler and linker, see the target "undefined"
SANITIZE =
CFLAGS += $(SANITIZE)
CXXFLAGS += $(SANITIZE)
LDLIBS = -lurcu-bp -lurcu-common -lneon -lmicrohttpd -lprotobuf-c -largtable2 -lxxhash -lev -lhttp_parser -ljansson -lzstd -lnettle -lpthread -lm -lstdc++ $(SANITIZE)

BUILD = build
LIB_SRC = src/xalloc.c src/lwstr.c src/name.c src/status.c src/log.c src/counter.c src/timer.c \
	src/platconf.c src/settings.c src/limiter.c src/admission.c src/records.c src/retrybudget.c src/peerset.c \
	src/policy.c src/guard.c src/guard_in.c src/guard_out.c src/naive.c \
	src/frame.c src/lw.pb-c.c src/pool.c src/endconn.c src/httpd.c src/httpc.c src/answer.c src/request.c src/cli.c \
	src/backend.c src/node.c src/inbound.c src/outbound.c src/peersrv.c src/heartbeat.c \
	src/confwatch.c src/adminpage.c \
	src/tomlkeys.c src/linux/clock.c src/linux/fatal.c src/linux/sock.c
# the streaming node, lwproxy
PROXY_SRC = src/proxyset.c src/evloop.c src/bytebuf.c src/bufbound.c src/httphead.c src/call.c src/fleetconf.c \
	src/serverset.c src/serversetlist.c src/mailbox.c src/admit.c src/level.c src/overload.c src/overloadcost.c src/pathlevels.c src/recentmax.c src/longruns.c src/worktime.c src/slotshare.c src/waitq.c src/leaving.c src/notice.c src/ratelimit.c src/bconn.c src/gate.c src/gatejob.c src/gateanswer.c src/gatereturn.c src/gatestop.c src/handback.c src/gatelevel.c src/gatekind.c src/gateconn.c src/gatecrash.c src/gatenotice.c src/fingerprint.c src/quarantine.c src/place.c src/placestate.c src/placecost.c src/zoneplan.c src/machine.c src/placeindex.c src/placelist.c src/placeleaving.c src/leavinglog.c src/placelevel.c src/lease.c src/removal.c src/probe.c src/proxylease.c \
	src/retrylimit.c src/retryrule.c src/retryafter.c src/meshframe.c src/meshservers.c src/mesh.pb-c.c src/mesh.c src/meshlink.c src/meshcall.c src/meshstatus.c src/meshsuspects.c src/meshdocs.c src/meshquery.c src/meshclosed.c src/meshoutcomes.c src/meshrecover.c \
	src/organisation.c src/credential.c src/quota.c src/quotacounts.c src/quotawindow.c src/quotabucket.c src/quotacoord.c src/quotachoice.c src/meshquota.c src/proxyquota.c src/exchange.c src/exchadmit.c src/exchattempt.c src/exchquarantine.c src/exchoutcome.c src/exchreturn.c src/caller.c src/callerset.c src/callerread.c src/callerreply.c src/storereader.c src/fairshare.c src/fanout.c src/join.c src/revdoc.c src/docfetch.c src/loss.c src/histogram.c src/routestats.c src/proxystats.c src/proxystatus.c src/logline.c src/explain.c src/account.c src/accountcheck.c src/accountrows.c src/accountprint.c src/fleetlog.c src/stopplan.c src/proxynews.c src/proxyread.c src/proxymesh.c src/proxyjoin.c src/proxynotice.c src/proxycrash.c src/proxystop.c src/proxysummary.c src/proxy.c
PLATFORM_SRC = platform/names.c platform/fields.c platform/documents.c platform/store.c platform/storeitems.c platform/storebounds.c platform/platform.c
LIB_OBJ = $(patsubst src/%.c,$(BUILD)/%.o,$(LIB_SRC) $(PROXY_SRC)) $(BUILD)/tomlshim.o
PLATFORM_OBJ = $(patsubst platform/%.c,$(BUILD)/platform/%.o,$(PLATFORM_SRC))
BINS = lwproxy lwsim lwnode lwctl lwburn lwfleet lwspread lwload lwstub-config lwstub-backend lwstub-relay
BIN_PATHS = $(addprefix $(BUILD)/,$(BINS))

.PHONY: all deps demo check undefined lint format bench meshbench soak fuzz clean

all: $(BIN_PATHS) $(BUILD)/lwtest

deps:
	@sh tools/deps.sh

$(BUILD)/%.o: src/%.c src/*.h
	@mkdir -p $(dir $@)
	@echo "  CC    $<"
	@$(CC) $(CFLAGS) -c $< -o $@

$(BUILD)/tomlshim.o: src/tomlshim.cc src/tomlshim.h
	@mkdir -p $(BUILD)
	$(CXX) $(CXXFLAGS) -c $< -o $@

$(BUILD)/liblw.a: $(LIB_OBJ)
	ar rcs $@ $^

$(BUILD)/platform/%.o: platform/%.c platform/*.h src/*.h
	@mkdir -p $(dir $@)
	@echo "  CC    $<"
	@$(CC) $(CFLAGS) -c $< -o $@

$(BUILD)/lwproxy: $(BUILD)/lwproxy.o $(PLATFORM_OBJ) $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/lwnode: $(BUILD)/lwnode.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/lwctl: $(BUILD)/lwctl.o $(BUILD)/platform/fields.o $(BUILD)/platform/documents.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/lwburn: $(BUILD)/lwburn.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS) -lcairo
$(BUILD)/lwload: $(BUILD)/lwload.o $(BUILD)/lwloadreport.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/lwstub-config: $(BUILD)/lwstub_config.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/lwstub-backend: $(BUILD)/lwstub_backend.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)

$(BUILD)/lwstub-relay: $(BUILD)/lwstub_relay.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)

SPREAD_OBJ = $(patsubst %,$(BUILD)/%.o,lwspread spreadsim spreadqueue spreadlink spreadread \
	     spreadnode spreadfigures)
$(BUILD)/lwspread: $(SPREAD_OBJ) $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS)

SIM_OBJ = $(patsubst %,$(BUILD)/%.o,lwsim simfleet simsetup simserver simqueue simresult simload simplot)
$(BUILD)/lwsim: $(SIM_OBJ) $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS) -lcairo
$(BUILD)/lwfleet: $(BUILD)/lwfleet.o $(BUILD)/fleetplot.o $(BUILD)/liblw.a
	$(CC) -o $@ $^ $(LDLIBS) -lcairo

$(BUILD)/lwburn.o $(BUILD)/simplot.o $(BUILD)/fleetplot.o: CFLAGS += $(shell pkg-config --cflags cairo)

TEST_SRC = tests/test_main.c tests/test_policy.c tests/test_config.c tests/test_frame.c tests/test_net.c tests/script.c \
	tests/decide.c tests/decide_route.c tests/decide_retry.c tests/decide_place.c tests/decide_zone.c tests/decide_lease.c tests/decide_spread.c tests/decide_join.c tests/decide_quarantine.c tests/decide_handback.c tests/decide_gate.c tests/test_lease.c tests/test_quarantine.c tests/test_quota.c tests/test_fairshare.c tests/test_fairfleet.c tests/decide_fair.c tests/test_organisation.c tests/test_notice.c tests/test_leaving.c tests/test_entryorder.c tests/placesim.c tests/test_placement.c tests/test_handback.c tests/test_meshframe.c tests/test_meshclosed.c tests/test_meshoutcomes.c tests/test_fates.c tests/test_documents.c tests/test_docfetch.c tests/test_ranges.c
$(BUILD)/lwtest: $(TEST_SRC) tests/lwtest.h tests/decide.h tests/placesim.h $(PLATFORM_OBJ) $(BUILD)/liblw.a
	$(CC) $(CFLAGS) -Itests -o $@ $(TEST_SRC) $(PLATFORM_OBJ) $(BUILD)/liblw.a $(LDLIBS) -lcunit

demo: deps all
	@sh tools/demo.sh

check: deps all
	$(MAKE) lint
	$(BUILD)/lwtest tests/scripts tests/decisions
	$(MAKE) undefined
	CTL=$(BUILD)/lwctl sh tests/explain.sh
	CTL=$(BUILD)/lwctl sh tests/account.sh
	FLEET=$(BUILD)/lwfleet sh tests/fleetlog.sh
	sh tests/e2e.sh
	sh tests/faults.sh
	SIM=$(BUILD)/lwsim sh tests/sim.sh
	SPREAD=$(BUILD)/lwspread sh tests/spread.sh
	LWPROXY=$(BUILD)/lwproxy python3 tests/mesh/run.py
	LWPROXY=$(BUILD)/lwproxy python3 tests/soak/soak.py --seeds 1,2,18,1001,2002,3001,4002,8006,9002,10001,11001 --seconds 8

# the sanitizer makes the compiler take some texts for longer than they can be
UNDEFINED = -O1 -fsanitize=undefined,float-divide-by-zero,float-cast-overflow -Wno-format-truncation
undefined: deps
	$(MAKE) -j2 BUILD=build-ubsan SANITIZE="$(UNDEFINED)" $(addprefix build-ubsan/,lwtest lwproxy lwsim)
	@sh tools/undefined.sh build-ubsan

lint:
	@sh tools/lint.sh

format:
	clang-format -i $$(ls src/*.c src/*.h src/linux/*.c src/linux/*.h platform/*.c platform/*.h tests/*.c tests/*.h | grep -v '\.pb-c\.')

bench: all
	@sh tools/bench.sh

$(BUILD)/orgbench: tools/orgbench.c $(BUILD)/liblw.a
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/placebench: tools/placebench.c $(BUILD)/liblw.a
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/listbench: tools/listbench.c $(BUILD)/liblw.a
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

meshbench: all $(BUILD)/orgbench $(BUILD)/listbench
	LWPROXY=$(BUILD)/lwproxy python3 tools/meshbench.py
	$(BUILD)/orgbench
	$(BUILD)/listbench

soak: all
	LWPROXY=$(BUILD)/lwproxy python3 tests/soak/soak.py --seeds 1-50,1001-1050,2001-2050,3001-3050,4001-4050,8001-8050,9001-9050,10001-10050,11001-11050 --seconds 15

fuzz: deps
	@sh tools/fuzz.sh

clean:
	rm -rf $(BUILD) build-ubsan
