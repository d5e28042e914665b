/* What backend servers announce in their answers, and who believes it for how long. */
#include <stdio.h>
#include <string.h>

#include "../platform/names.h"
#include "lwtest.h"
#include "place.h"

#define ADDR  "10.0.0.1:80"
#define DEPTH 6

static lw_notice_said_t said_by(const char *head)
{
	lw_notice_said_t said = { 0 };

	lw_notice_in_head(&said, lw_str_c(head), &lw_platform_names);
	return said;
}

static void test_leaving_in_head(void)
{
	CU_ASSERT(said_by("HTTP/1.1 200 X\r\nA: 1\r\nserver-leaving:\t1 \r\nB: 2\r\n").leaving);
	CU_ASSERT(said_by("HTTP/1.1 200 X\r\nServer-Leaving: 0\r\nServer-Leaving: 1\r\n").leaving);
	CU_ASSERT_FALSE(said_by("HTTP/1.1 200 X\r\nServer-Leaving: 0\r\n").leaving);
	CU_ASSERT_FALSE(said_by("HTTP/1.1 200 X\r\nServer-Leaving:\r\n").leaving);
	CU_ASSERT_FALSE(said_by("HTTP/1.1 200 X\r\nX-Server-Leaving: 1\r\n").leaving);
	CU_ASSERT_FALSE(said_by("HTTP/1.1 200 Server-Leaving: 1\r\n").leaving);
	CU_ASSERT_FALSE(said_by("").leaving);
	CU_ASSERT_FALSE(said_by("HTTP/1.1 200 X\r\nServer-Leaving").leaving);
}

/* What may happen to a host that is used, in any order and any number of times. */
typedef enum lw_happens {
	ANSWER_LEAVING, /* an answer that says so is passed on */
	ANSWER_PLAIN, /* one that does not: an older one, late */
	NODE_LEAVING, /* the node beside it says so */
	NODE_PLAIN, /* one that has started anew and knows nothing */
	NODE_OTHER, /* that of the server that was at the address before */
	LIST_READY, /* the entry says ready, as in a copy of the store */
	LIST_WITHOUT, /* the entry has lapsed */
	NODE_LOST,
	HAPPENS_COUNT
} lw_happens_t;

static void apply_list(lw_place_t *p, uint64_t born_ms, uint64_t now_us)
{
	lw_server_entry_t e = { .slots = 10, .born_ms = born_ms };
	lw_serverlist_t sl = { .servers = &e, .nservers = born_ms ? 1 : 0 };

	lw_str_copy(e.id, sizeof(e.id), LW_STR("i-1"));
	lw_str_copy(e.service, sizeof(e.service), LW_STR("s"));
	lw_str_copy(e.addr, sizeof(e.addr), LW_STR(ADDR));
	lw_place_update(p, &sl, now_us, now_us + 1000000);
}

static lw_place_host_t *picked(lw_place_t *p, uint64_t now_us)
{
	lw_place_tried_t tried = { .n = 0 };
	lw_place_ask_t ask = { .now_us = now_us };

	return lw_place_pick(lw_place_service(p, "s"), &tried, &ask);
}

static lw_load_t load_of(lw_happens_t what)
{
	lw_load_t load = { .limit = 9 };

	if (what == NODE_LEAVING)
		load.notice = (lw_notice_t){ lw_notice_server("i-1"), 1000, true };
	if (what == NODE_OTHER)
		load.notice = (lw_notice_t){ lw_notice_server("i-1"), 900, true };
	return load;
}

/* true once the node is bound by what it passed on */
static bool happen(lw_place_t *p, lw_place_host_t *h, lw_happens_t what, uint64_t now_us)
{
	lw_load_t load = load_of(what);

	switch (what) {
	case ANSWER_LEAVING:
		lw_place_leaves(h);
		return true;
	case LIST_READY:
		apply_list(p, 1000, now_us);
		return false;
	case LIST_WITHOUT:
		apply_list(p, 0, now_us);
		return false;
	case NODE_LOST:
		lw_place_node_lost(p, h->node, true, now_us);
		return false;
	case ANSWER_PLAIN:
		lw_place_told(h, &load, now_us);
		return false;
	default:
		lw_place_node_told(p, h->node, &load, now_us);
		return false;
	}
}

/* plays the steps that @run names; false if a rule is broken */
static bool play(uint32_t run)
{
	lw_place_t p;
	lw_place_host_t *h;
	bool bound = false, good = true;
	uint64_t now_us = 1000000;

	lw_place_init(&p, "a", "10.0.0.9:80", 7000, (lw_retryterms_t){ 0 });
	apply_list(&p, 1000, now_us);
	h = picked(&p, now_us);
	h->refs++; /* a request of this node is under way there */
	for (int i = 0; i < DEPTH; i++, run /= HAPPENS_COUNT) {
		now_us += 200000;
		bound |= happen(&p, h, (lw_happens_t)(run % HAPPENS_COUNT), now_us);
		good &= !bound || !picked(&p, now_us);
	}
	apply_list(&p, 2000, now_us);
	good &= picked(&p, now_us) && picked(&p, now_us)->born_ms == 2000;
	lw_place_free(&p);
	return good;
}

/* Guards against a server that gets work after its leaving was passed on, or whose next process gets none. */
static void test_leaving_in_any_order(void)
{
	uint32_t runs = 1, bad = 0;

	for (int i = 0; i < DEPTH; i++)
		runs *= HAPPENS_COUNT;
	for (uint32_t run = 0; run < runs; run++)
		bad += !play(run);
	CU_ASSERT_EQUAL(bad, 0);
}

/* suite_notice() - registers the suite. */
void suite_notice(void)
{
	CU_pSuite s = CU_add_suite("notice", NULL, NULL);

	CU_add_test(s, "leaving_in_head", test_leaving_in_head);
	CU_add_test(s, "leaving_in_any_order", test_leaving_in_any_order);
}
