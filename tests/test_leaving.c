/*
 * Searches over the orders in which a server that is restarted under its id announces that it is
 * leaving, and in which the server list and reports about it arrive.
 */
#include <string.h>

#include "gate_int.h"
#include "log.h"
#include "lwtest.h"
#include "place.h"

#define ID   "i-1"
#define ADDR "10.0.0.1:80"
/* a request of the model, sent just before its answer, us */
#define REQUEST_US 1000

/* The server: its processes follow each other under one id. */
typedef struct lw_model {
	uint64_t now_ms; /* Unix time of the server's host */
	uint64_t back_ms; /* by how much its clock is set back */
	uint64_t born_ms[2]; /* start times of the process and the one before */
	uint32_t process; /* number of the process, from 1 */
	bool leaving; /* it says so in its answers */
	uint32_t told; /* last process whose announcement the node has passed on */
} lw_model_t;

static uint64_t host_clock_ms(const lw_model_t *m)
{
	return m->now_ms - m->back_ms;
}

static void model_init(lw_model_t *m)
{
	*m = (lw_model_t){ .now_ms = 1000000, .born_ms = { 900000, 800000 }, .process = 1 };
}

static void model_restart(lw_model_t *m)
{
	m->born_ms[1] = m->born_ms[0];
	m->born_ms[0] = host_clock_ms(m);
	m->process++;
	m->leaving = false;
}

/* a leaving server gets nothing once its announcement was passed on */
static bool model_is_bound(const lw_model_t *m)
{
	return m->leaving && m->told == m->process;
}

/* Events in the search over a node that sends requests. */
typedef enum lw_front_event {
	FRONT_SAY, /* the process begins to leave */
	FRONT_RESTART,
	FRONT_ANSWER, /* an answer of the process is passed on */
	FRONT_CHECK, /* the node beside the server checks the process; its report is under way */
	FRONT_REPORT, /* its newest report arrives */
	FRONT_LATE_REPORT, /* the one before arrives, after it */
	FRONT_LIST, /* the list names the process */
	FRONT_LIST_FORMER, /* the list, late or from a copy, names the process before */
	FRONT_LIST_NONE,
	FRONT_CLOCK_BACK, /* the clock of the server's host is set back */
	FRONT_EVENTS
} lw_front_event_t;

#define FRONT_DEPTH   6
#define CLOCK_BACK_MS 4000

typedef struct lw_front {
	lw_model_t m;
	lw_place_t place;
	uint64_t seen_ms; /* time of the newest observation at the server's node */
	lw_load_t report[2]; /* its reports, the newest first */
} lw_front_t;

static void apply_list(lw_place_t *p, uint64_t born_ms, bool proven, uint64_t now_us)
{
	lw_server_entry_t e = {
		.zone = lw_name_none, .slots = 10, .born_ms = born_ms, .proven = proven
	};
	lw_serverlist_t sl = { .servers = &e, .nservers = born_ms ? 1 : 0 };

	e.id = lw_name_c(ID);
	e.service = lw_name_c("s");
	lw_str_copy(e.addr, sizeof(e.addr), LW_STR(ADDR));
	lw_place_update(p, &sl, now_us, now_us);
}

static lw_place_host_t *picked(lw_place_t *p, uint64_t now_us)
{
	lw_place_tried_t tried = { .n = 0 };
	lw_place_query_t ask = { .now_us = now_us };

	return lw_place_pick(lw_place_service(p, "s"), &tried, &ask);
}

/* the time of the observation, later than that of all others before */
static uint64_t observe(lw_front_t *f)
{
	uint64_t at_ms = host_clock_ms(&f->m);

	f->seen_ms = at_ms > f->seen_ms ? at_ms : f->seen_ms + 1;
	return f->seen_ms;
}

static void check_server(lw_front_t *f)
{
	f->report[1] = f->report[0];
	f->report[0] = (lw_load_t){ .limit = 9 };
	f->report[0].notice.server = lw_notice_server_digest(ID);
	f->report[0].notice.leaving = f->m.leaving;
	f->report[0].notice.seen_ms = observe(f);
}

static void deliver(lw_front_t *f, const lw_load_t *report, uint64_t now_us)
{
	char node[LW_NAME_MAX];

	lw_place_node_addr(node, sizeof(node), ADDR, 7000);
	if (report->limit)
		lw_place_node_load_reported(&f->place, node, report, now_us);
}

static void pass_on(lw_front_t *f, uint64_t now_us)
{
	lw_place_host_t *h = f->place.services->hosts;

	if (!f->m.leaving)
		return;
	lw_place_mark_leaving(h, observe(f), now_us);
	f->m.told = f->m.process;
}

static void apply_front_event(lw_front_t *f, lw_front_event_t what, uint64_t now_us)
{
	switch (what) {
	case FRONT_SAY:
		f->m.leaving = true;
		break;
	case FRONT_RESTART:
		model_restart(&f->m);
		break;
	case FRONT_ANSWER:
		pass_on(f, now_us);
		break;
	case FRONT_CHECK:
		check_server(f);
		break;
	case FRONT_REPORT:
		deliver(f, &f->report[0], now_us);
		break;
	case FRONT_LATE_REPORT:
		deliver(f, &f->report[1], now_us);
		break;
	case FRONT_LIST:
		apply_list(&f->place, f->m.born_ms[0], true, now_us);
		break;
	case FRONT_LIST_FORMER:
		apply_list(&f->place, f->m.born_ms[1], false, now_us);
		break;
	case FRONT_LIST_NONE:
		apply_list(&f->place, 0, false, now_us);
		break;
	default:
		f->m.back_ms = CLOCK_BACK_MS;
	}
}

/* plays the events encoded in @run; false if a rule is violated */
static bool play_front(uint32_t run)
{
	lw_front_t f = { 0 };
	uint64_t now_us = 1000000;
	bool good = true;

	model_init(&f.m);
	lw_place_init(&f.place, "a", "10.0.0.9:80", 7000, (lw_retryallowance_t){ 0 });
	apply_list(&f.place, f.m.born_ms[0], true, now_us);
	for (int i = 0; i < FRONT_DEPTH; i++, run /= FRONT_EVENTS) {
		now_us += 700000;
		f.m.now_ms += 700;
		apply_front_event(&f, (lw_front_event_t)(run % FRONT_EVENTS), now_us);
		good &= !model_is_bound(&f.m) || !picked(&f.place, now_us);
	}
	f.m.now_ms += 700;
	apply_list(&f.place, f.m.born_ms[0], true, now_us);
	check_server(&f);
	deliver(&f, &f.report[0], now_us);
	good &= f.m.leaving == !picked(&f.place, now_us);
	lw_place_free(&f.place);
	return good;
}

static uint32_t count_runs(uint32_t events, int depth)
{
	uint32_t runs = 1;

	for (int i = 0; i < depth; i++)
		runs *= events;
	return runs;
}

/*
 * Guards against a node that sends requests to a leaving server after it passed the announcement
 * on, because the list names another process; and against one that sends none to the next process.
 */
static void test_front_in_any_order(void)
{
	uint32_t bad = 0;

	for (uint32_t run = 0; run < count_runs(FRONT_EVENTS, FRONT_DEPTH); run++)
		bad += !play_front(run);
	CU_ASSERT_EQUAL(bad, 0);
}

/* Events in the search over the node beside the server. */
typedef enum lw_gate_event {
	GATE_SAY,
	GATE_RESTART,
	GATE_ANSWER, /* the process answers a request that was sent just now */
	GATE_LATE_ANSWER, /* an answer without the announcement to a request sent before the others */
	GATE_LIST,
	GATE_LIST_FORMER,
	GATE_EVENTS
} lw_gate_event_t;

#define GATE_DEPTH 7

typedef struct lw_gate_play {
	lw_model_t m;
	lw_evloop_t evloop;
	lw_gate_t gate;
} lw_gate_play_t;

static void set_server(lw_gate_t *g, uint64_t born_ms)
{
	lw_place_host_t h = { .born_ms = born_ms };

	h.id = lw_name_c(ID);
	lw_gate_set_server(g, &h);
}

static void answer(lw_gate_play_t *p, bool leaving, uint64_t sent_us)
{
	lw_notice_fields_t said = { .leaving = leaving };

	lw_gate_on_notice(&p->gate, &said, sent_us);
	if (!leaving)
		lw_gate_on_accepting(&p->gate, sent_us);
	if (leaving)
		p->m.told = p->m.process;
}

static void apply_gate_event(lw_gate_play_t *p, lw_gate_event_t what)
{
	uint64_t now_us = p->evloop.now_us;

	switch (what) {
	case GATE_SAY:
		p->m.leaving = true;
		break;
	case GATE_RESTART:
		model_restart(&p->m);
		break;
	case GATE_ANSWER:
		answer(p, p->m.leaving, now_us - REQUEST_US);
		break;
	case GATE_LATE_ANSWER:
		answer(p, false, REQUEST_US);
		break;
	case GATE_LIST:
		set_server(&p->gate, p->m.born_ms[0]);
		break;
	default:
		set_server(&p->gate, p->m.born_ms[1]);
	}
}

/* plays the events encoded in @run; false if a rule is violated */
static bool play_gate(uint32_t run)
{
	static lw_gate_play_t p;
	bool good = true;

	memset(&p, 0, sizeof(p));
	model_init(&p.m);
	p.evloop.now_us = 1000000;
	p.gate.evloop = &p.evloop;
	p.gate.server_id = lw_name_none;
	set_server(&p.gate, p.m.born_ms[0]);
	for (int i = 0; i < GATE_DEPTH; i++, run /= GATE_EVENTS) {
		p.evloop.now_us += 700000;
		p.m.now_ms += 700;
		apply_gate_event(&p, (lw_gate_event_t)(run % GATE_EVENTS));
		good &= !model_is_bound(&p.m) || lw_gate_leaving(&p.gate);
	}
	p.evloop.now_us += 700000;
	model_restart(&p.m);
	set_server(&p.gate, p.m.born_ms[0] + 1);
	answer(&p, false, p.evloop.now_us - REQUEST_US);
	return good && !lw_gate_leaving(&p.gate);
}

/*
 * Guards against the node beside a leaving server admitting requests because the list names another
 * process, and against one that admits none for the next process.
 */
static void test_gate_in_any_order(void)
{
	uint32_t bad = 0;

	lw_log_init("lwtest", LOG_ERR);
	for (uint32_t run = 0; run < count_runs(GATE_EVENTS, GATE_DEPTH); run++)
		bad += !play_gate(run);
	CU_ASSERT_EQUAL(bad, 0);
}

/* Guards against taking a faulty answer of a leaving server for one of its next process. */
static void test_answer_without_announcement(void)
{
	static lw_gate_play_t p;

	p.evloop.now_us = 1000000;
	p.gate.evloop = &p.evloop;
	p.gate.server_id = lw_name_none;
	set_server(&p.gate, 900000);
	answer(&p, true, p.evloop.now_us - REQUEST_US);
	p.evloop.now_us += 1000000;
	answer(&p, false, p.evloop.now_us - REQUEST_US);
	CU_ASSERT(lw_gate_leaving(&p.gate));
}

/*
 * Guards against dropping the limit that a server announced because the list names another process,
 * and against keeping it once an answer no longer announces it.
 */
static void test_limit_outlives_another_entry(void)
{
	static lw_gate_play_t p;
	lw_notice_fields_t said = { .limited = true, .limit_per_s = 5 };

	p.evloop.now_us = 1000000;
	p.gate.evloop = &p.evloop;
	p.gate.server_id = lw_name_none;
	set_server(&p.gate, 900000);
	lw_gate_on_notice(&p.gate, &said, p.evloop.now_us - REQUEST_US);
	p.evloop.now_us += 1000000;
	set_server(&p.gate, 950000);
	CU_ASSERT(p.gate.notice.limited && p.gate.ratelimit.on);
	p.evloop.now_us += 1000000;
	answer(&p, false, p.evloop.now_us - REQUEST_US);
	CU_ASSERT_FALSE(p.gate.notice.limited || p.gate.ratelimit.on);
}

/* Guards against requests that go to the former address of a server whose entry has moved. */
static void test_entry_that_moves(void)
{
	lw_server_entry_t e = { .zone = lw_name_none, .slots = 10 };
	lw_serverlist_t sl = { .servers = &e, .nservers = 1 };
	lw_place_t p;

	e.id = lw_name_c(ID);
	e.service = lw_name_c("s");
	lw_str_copy(e.addr, sizeof(e.addr), LW_STR(ADDR));
	lw_place_init(&p, "a", "10.0.0.9:80", 7000, (lw_retryallowance_t){ 0 });
	lw_place_update(&p, &sl, 1000000, 1000000);
	lw_place_mark_leaving(picked(&p, 1000000), 1000000, 1000000);
	lw_str_copy(e.addr, sizeof(e.addr), LW_STR("10.0.0.2:80"));
	lw_place_update(&p, &sl, 2000000, 2000000);
	CU_ASSERT_PTR_NULL(picked(&p, 2000000));
	for (lw_place_host_t *h = p.services->hosts; h; h = h->next)
		CU_ASSERT(!h->listed || strcmp(h->node, "10.0.0.2:7000") == 0);
	lw_place_free(&p);
}

/* suite_leaving() - register the tests of this file. */
void suite_leaving(void)
{
	CU_pSuite s = CU_add_suite("leaving", NULL, NULL);

	CU_add_test(s, "front_in_any_order", test_front_in_any_order);
	CU_add_test(s, "gate_in_any_order", test_gate_in_any_order);
	CU_add_test(s, "answer_without_announcement", test_answer_without_announcement);
	CU_add_test(s, "limit_outlives_another_entry", test_limit_outlives_another_entry);
	CU_add_test(s, "entry_that_moves", test_entry_that_moves);
}
