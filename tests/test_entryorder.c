/*
 * Search over the orders in which the entry of one backend server is written, removed, restored
 * from a copy of the store and read: by processes that follow each other while the clock of
 * their host steps, by a former process, and by another writer. A reader interprets the store, a
 * node that has been there all the time places requests; other readers start in between.
 */
#include <string.h>

#include "lwtest.h"
#include "place.h"
#include "serverset.h"
#include "storepos.h"

#define ID	 "i-1"
#define ADDR	 "10.0.0.1:80"
#define STEP_MS	 700
#define BEAT_MS	 1500
#define DEPTH	 6
#define CLOCK_MS 4000 /* by how much the clock of the server's host is ahead or set back */
#define BACK_WITHIN_MS \
	13500 /* a server that runs gets work within this, whatever happened before */

typedef enum event {
	RESTART, /* the next process starts, its entry is ready */
	RESTART_AHEAD, /* the same while the clock is ahead */
	BEAT, /* the process writes its entry */
	DRAIN, /* it writes that it drains */
	LEAVE, /* its entry is removed; it goes on for some time */
	LATE, /* a write of the former process is done, late */
	FOREIGN, /* another writer leaves an entry without a start time */
	COPY, /* the store is restored from a copy taken at the beginning */
	READER, /* another node, which has just started, reads the store */
	ANSWER, /* the node beside the server tells that its health check is good */
	EVENTS
} event_t;

typedef struct entry {
	bool there, draining;
	uint64_t born_ms, revision;
} entry_t;

typedef struct play {
	uint64_t now_ms, born_ms, former_ms;
	bool drains; /* its health check says so */
	bool stopping; /* the process drains, or its entry was removed */
	entry_t entry, copy;
	uint64_t revision;
	uint32_t era;
	uint64_t read_pos; /* position of the reader's last read; 0: it has just started */
	lw_serverset_t *reader;
	lw_place_t place;
} play_t;

static void store_write(play_t *p, uint64_t born_ms, bool draining)
{
	p->entry = (entry_t){ true, draining, born_ms, ++p->revision };
}

static void start_process(play_t *p, uint64_t ahead_ms)
{
	p->former_ms = p->born_ms;
	p->born_ms = p->now_ms + ahead_ms;
	p->stopping = false;
	p->drains = false;
	store_write(p, p->born_ms, false);
}

static void start_reader(play_t *p)
{
	lw_serverset_free(p->reader);
	p->reader = lw_serverset_new();
	p->read_pos = 0;
}

static void restore_copy(play_t *p)
{
	p->entry = p->copy;
	p->revision = p->copy.revision;
	p->era++;
}

/* a server that left without a drain goes on for some time with a good health check */
static void answer(play_t *p)
{
	lw_place_service_t *s = lw_place_service(&p->place, "s");
	lw_notice_t n = { .server = lw_notice_server_digest(ID),
			  .born_ms = p->born_ms,
			  .leaving = p->drains,
			  .seen_ms = p->now_ms };

	for (lw_place_host_t *h = s->hosts; h; h = h->next)
		lw_place_notice_reported(h, &n, p->now_ms * 1000);
}

static void apply(play_t *p, event_t what)
{
	switch (what) {
	case RESTART:
		start_process(p, 0);
		break;
	case RESTART_AHEAD:
		start_process(p, CLOCK_MS);
		break;
	case BEAT:
		if (!p->stopping || (p->entry.there && p->entry.draining))
			store_write(p, p->born_ms, p->stopping);
		break;
	case DRAIN:
		p->stopping = true;
		p->drains = true;
		store_write(p, p->born_ms, true);
		break;
	case LEAVE:
		p->stopping = true;
		p->revision++;
		p->entry.there = false;
		break;
	case LATE:
		/* a removed entry is not written: its lease has ended */
		if (p->former_ms && p->entry.there)
			store_write(p, p->former_ms, false);
		break;
	case FOREIGN:
		if (p->entry.there)
			store_write(p, 0, false);
		break;
	case COPY:
		restore_copy(p);
		break;
	case READER:
		start_reader(p);
		break;
	default:
		answer(p);
	}
}

static lw_server_entry_t decoded(const play_t *p)
{
	lw_server_entry_t e = { .slots = 10,
				.draining = p->entry.draining,
				.born_ms = p->entry.born_ms,
				.created = lw_storepos(p->era, 1),
				.written = lw_storepos(p->era, p->entry.revision) };

	e.id = lw_name_c(ID);
	e.service = lw_name_c("s");
	e.zone = lw_name_none;
	lw_str_copy(e.addr, sizeof(e.addr), LW_STR(ADDR));
	return e;
}

/* the reader reads everything: it has just started, or the store was restored */
static void read_all(play_t *p, uint64_t pos)
{
	bool restored = p->read_pos && p->era != lw_storepos_era(p->read_pos);
	lw_server_entry_t e = decoded(p);

	if (restored)
		lw_serverset_begin_restore(p->reader);
	lw_serverset_begin_read(p->reader);
	if (p->entry.there)
		lw_serverset_put(p->reader, &e);
	lw_serverset_end_read(p->reader);
	if (restored)
		lw_serverset_end_restore(p->reader, p->now_ms * 1000, pos);
}

/* the reader reads what was written since its last read */
static void read_changes(play_t *p, uint64_t pos)
{
	lw_server_entry_t e = decoded(p);

	if (!p->entry.there)
		lw_serverset_remove(p->reader, ID, pos);
	else if (e.written > p->read_pos)
		lw_serverset_put(p->reader, &e);
}

/* the reader reads the store, and the node applies its list */
static void read_store(play_t *p)
{
	uint64_t pos = lw_storepos(p->era, p->revision);
	lw_serverlist_t *sl;

	if (!p->read_pos || !lw_storepos_same_era(p->read_pos, pos))
		read_all(p, pos);
	else
		read_changes(p, pos);
	p->read_pos = pos;
	lw_serverset_complete(p->reader, pos);
	sl = lw_serverset_take_changes(p->reader, p->now_ms * 1000);
	if (sl)
		lw_place_update(&p->place, sl, p->now_ms * 1000, p->now_ms * 1000);
	lw_place_end_doubts(&p->place, p->now_ms * 1000);
	lw_serverlist_free(sl);
}

static bool gets_work(play_t *p)
{
	lw_place_tried_t tried = { .n = 0 };
	lw_place_query_t ask = { .now_us = p->now_ms * 1000 };

	return lw_place_pick(lw_place_service(&p->place, "s"), &tried, &ask) != NULL;
}

/* a process that runs gets work again: its heartbeats say what is true */
static bool recovers(play_t *p)
{
	start_process(p, 0);
	for (int ms = 0; ms < BACK_WITHIN_MS; ms += BEAT_MS) {
		read_store(p);
		p->now_ms += BEAT_MS;
		apply(p, BEAT);
		answer(p);
	}
	read_store(p);
	return gets_work(p);
}

static const char *const names[EVENTS] = { "restart", "restart_ahead", "beat", "drain",	 "leave",
					   "late",    "foreign",       "copy", "reader", "answer" };

static void report(uint32_t run, const char *what)
{
	printf("\n  %s:", what);
	for (int i = 0; i < DEPTH; i++, run /= EVENTS)
		printf(" %s", names[run % EVENTS]);
}

/* plays the events encoded in @run; false if a rule is violated */
static bool play(uint32_t run, bool tell)
{
	play_t p = { .now_ms = 1000000, .era = 1, .born_ms = 900000 };
	const uint32_t whole = run;
	bool bound = false, good = true;

	p.reader = lw_serverset_new();
	lw_place_init(&p.place, "a", "10.0.0.9:80", 7000, (lw_retryallowance_t){ 0 });
	store_write(&p, p.born_ms, false);
	p.copy = p.entry;
	read_store(&p);
	for (int i = 0; i < DEPTH; i++, run /= EVENTS) {
		p.now_ms += STEP_MS;
		apply(&p, (event_t)(run % EVENTS));
		read_store(&p);
		bound |= p.stopping && (!p.entry.there || p.entry.draining);
		bound &= p.stopping;
		good &= !bound || !gets_work(&p);
	}
	if (!good && tell)
		report(whole, "a server that is leaving gets work");
	if (!recovers(&p)) {
		good = false;
		if (tell)
			report(whole, "a server that runs gets none");
	}
	lw_serverset_free(p.reader);
	lw_place_free(&p.place);
	return good;
}

/*
 * Guards against requests to a server after its entry has said that it drains, or was removed, and
 * against a server that gets none although it runs.
 */
static void test_any_order(void)
{
	uint32_t runs = 1, bad = 0;

	for (int i = 0; i < DEPTH; i++)
		runs *= EVENTS;
	for (uint32_t run = 0; run < runs; run++)
		bad += !play(run, bad < 5);
	printf("\n  entry order: %u runs, %u violate a rule ", runs, bad);
	CU_ASSERT_EQUAL(bad, 0);
}

/* suite_entryorder() - register the tests of this file. */
void suite_entryorder(void)
{
	CU_pSuite s = CU_add_suite("entry order", NULL, NULL);

	CU_add_test(s, "any_order", test_any_order);
}
