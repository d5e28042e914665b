/* Self-announcements of backend servers, and for how long the nodes act on them. */
#include <stdio.h>
#include <string.h>

#include "../platform/names.h"
#include "lwtest.h"
#include "ratelimit.h"
#include "place.h"

#define ADDR  "10.0.0.1:80"
#define DEPTH 6

static lw_notice_fields_t fields_of(const char *head)
{
	lw_notice_fields_t said = { 0 };

	lw_notice_parse_head(&said, lw_str_c(head), &lw_platform_names);
	return said;
}

static void test_leaving_in_head(void)
{
	CU_ASSERT(fields_of("HTTP/1.1 200 X\r\nA: 1\r\nserver-leaving:\t1 \r\nB: 2\r\n").leaving);
	CU_ASSERT(
		fields_of("HTTP/1.1 200 X\r\nServer-Leaving: 0\r\nServer-Leaving: 1\r\n").leaving);
	CU_ASSERT_FALSE(fields_of("HTTP/1.1 200 X\r\nServer-Leaving: 0\r\n").leaving);
	CU_ASSERT_FALSE(fields_of("HTTP/1.1 200 X\r\nServer-Leaving:\r\n").leaving);
	CU_ASSERT_FALSE(fields_of("HTTP/1.1 200 X\r\nX-Server-Leaving: 1\r\n").leaving);
	CU_ASSERT_FALSE(fields_of("HTTP/1.1 200 Server-Leaving: 1\r\n").leaving);
	CU_ASSERT_FALSE(fields_of("").leaving);
	CU_ASSERT_FALSE(fields_of("HTTP/1.1 200 X\r\nServer-Leaving").leaving);
}

/* Events at a host in use, in any order and any number of times. */
typedef enum lw_place_event {
	ANSWER_LEAVING, /* a response that announces leaving is passed on */
	ANSWER_PLAIN, /* an older response without the announcement arrives late */
	NODE_LEAVING, /* the node on its host reports that it is leaving */
	NODE_PLAIN, /* a restarted node without that state reports */
	NODE_OTHER, /* the report is about the previous server at the address */
	LIST_READY, /* the entry is ready, as in a restored copy of the store */
	LIST_WITHOUT, /* the entry has expired */
	NODE_LOST,
	PLACE_EVENTS
} lw_place_event_t;

static void apply_list(lw_place_t *p, uint64_t born_ms, uint64_t now_us)
{
	lw_server_entry_t e = { .zone = lw_name_none, .slots = 10, .born_ms = born_ms };
	lw_serverlist_t sl = { .servers = &e, .nservers = born_ms ? 1 : 0 };

	e.id = lw_name_c("i-1");
	e.service = lw_name_c("s");
	lw_str_copy(e.addr, sizeof(e.addr), LW_STR(ADDR));
	lw_place_update(p, &sl, now_us, now_us + 1000000);
}

static lw_place_host_t *picked(lw_place_t *p, uint64_t now_us)
{
	lw_place_tried_t tried = { .n = 0 };
	lw_place_query_t ask = { .now_us = now_us };

	return lw_place_pick(lw_place_service(p, "s"), &tried, &ask);
}

static lw_load_t load_of(lw_place_event_t what)
{
	lw_load_t load = { .limit = 9 };

	if (what == NODE_LEAVING || what == NODE_OTHER) {
		load.notice.server = lw_notice_server_digest("i-1");
		load.notice.born_ms = what == NODE_LEAVING ? 1000 : 900;
		load.notice.leaving = true;
	}
	return load;
}

/* true once the node must act on what it passed on */
static bool apply_event(lw_place_t *p, lw_place_host_t *h, lw_place_event_t what, uint64_t now_us)
{
	lw_load_t load = load_of(what);

	switch (what) {
	case ANSWER_LEAVING:
		lw_place_mark_leaving(h, 0, now_us);
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
		lw_place_load_reported(h, &load, now_us);
		return false;
	default:
		lw_place_node_load_reported(p, h->node, &load, now_us);
		return false;
	}
}

/* plays the events encoded in @run; false if a rule is violated */
static bool play(uint32_t run)
{
	lw_place_t p;
	lw_place_host_t *h;
	bool bound = false, good = true;
	uint64_t now_us = 1000000;

	lw_place_init(&p, "a", "10.0.0.9:80", 7000, (lw_retryallowance_t){ 0 });
	apply_list(&p, 1000, now_us);
	h = picked(&p, now_us);
	h->refs++; /* a request of this node is in flight at the host */
	for (int i = 0; i < DEPTH; i++, run /= PLACE_EVENTS) {
		now_us += 200000;
		bound |= apply_event(&p, h, (lw_place_event_t)(run % PLACE_EVENTS), now_us);
		good &= !bound || !picked(&p, now_us);
	}
	apply_list(&p, 2000, now_us);
	good &= picked(&p, now_us) && picked(&p, now_us)->born_ms == 2000;
	lw_place_free(&p);
	return good;
}

/*
 * Guards against a server that gets requests after its departure was passed on, or whose
 * next process gets none.
 */
static void test_leaving_in_any_order(void)
{
	uint32_t runs = 1, bad = 0;

	for (int i = 0; i < DEPTH; i++)
		runs *= PLACE_EVENTS;
	for (uint32_t run = 0; run < runs; run++)
		bad += !play(run);
	CU_ASSERT_EQUAL(bad, 0);
}

static void test_limit_in_head(void)
{
	static const char *const none[] = { "-1",  "nan", "1e400", "",	    "0x10", "5, 7",
					    "inf", "1.",  ".5",	   "1.2.3", "+3",   " " };
	char head[600], digits[401];

	CU_ASSERT(fields_of("HTTP/1.1 200 X\r\nServer-Limit: 15.7\r\n").limited);
	CU_ASSERT_DOUBLE_EQUAL(fields_of("H\r\nserver-limit:15.7\r\n").limit_per_s, 15.7, 1e-9);
	CU_ASSERT(fields_of("H\r\nServer-Limit: 0\r\n").limited);
	for (size_t i = 0; i < sizeof(none) / sizeof(none[0]); i++) {
		snprintf(head, sizeof(head), "H\r\nServer-Limit: %s\r\n", none[i]);
		CU_ASSERT_FALSE(fields_of(head).limited);
		CU_ASSERT(fields_of(head).limit_invalid);
	}
	memset(digits, '9', 400);
	digits[400] = '\0';
	snprintf(head, sizeof(head), "H\r\nServer-Limit: %s\r\n", digits);
	CU_ASSERT(fields_of(head).limit_invalid);
	CU_ASSERT_FALSE(fields_of("H\r\nServer-Limit: 1\r\nServer-Limit: 2\r\n").limited);
	CU_ASSERT_FALSE(fields_of("H\r\nServer-Limit: 1\r\nServer-Limit: 2\r\nServer-Limit: 3\r\n")
				.limited);
	CU_ASSERT_FALSE(fields_of("H\r\nA: 1\r\n").limit_invalid);
}

/* requests of a run: the first ones are sent together, each later one after one more answer */
#define ASKED	 5
#define TOGETHER 3
/* no limit, a lower and a higher limit */
#define LIMITS 3

static lw_notice_fields_t fields_with_limit(uint32_t number)
{
	static const double limits[LIMITS] = { 0, 5, 8 };

	return (lw_notice_fields_t){ .limited = number > 0, .limit_per_s = limits[number] };
}

/* the @k-th permutation of @n answers */
static void order_of(uint32_t k, uint32_t n, uint32_t *out)
{
	uint32_t left[ASKED];

	for (uint32_t i = 0; i < n; i++)
		left[i] = i;
	for (uint32_t i = 0; i < n; i++) {
		uint32_t at = k % (n - i);

		k /= n - i;
		out[i] = left[at];
		memmove(&left[at], &left[at + 1], (n - i - 1 - at) * sizeof(left[0]));
	}
}

static double bound(const lw_notice_limit_t *l)
{
	return l->on ? l->per_s : 1e9;
}

/* false if an older answer raised the limit of a newer one, or the last answer does not apply */
static bool play_limits(uint32_t limits_played, uint32_t order)
{
	uint32_t said[ASKED], at[ASKED];
	lw_notice_limit_t l = { 0 };
	lw_notice_fields_t w;
	uint32_t newest = 0;

	for (int i = 0; i < ASKED; i++, limits_played /= LIMITS)
		said[i] = limits_played % LIMITS;
	order_of(order, ASKED, at);
	for (uint32_t i = 0; i < ASKED; i++) {
		uint32_t n = at[i];
		uint32_t sent = n < TOGETHER ? 0 : n - TOGETHER + 1;
		double before = bound(&l);

		if (sent > i)
			return true; /* impossible: answered before it was sent */
		w = fields_with_limit(said[n]);
		/* a request is sent 5 us after the answer that allows it */
		lw_notice_limit_from_response(&l, &w, 10 * sent + 5, 10 * (i + 1));
		if (bound(&l) > before && n < newest && said[newest] > 0 &&
		    bound(&l) > fields_with_limit(said[newest]).limit_per_s)
			return false;
		newest = n > newest ? n : newest;
	}
	w = fields_with_limit(said[ASKED - 1]);
	lw_notice_limit_from_response(&l, &w, 10 * ASKED + 5, 10 * ASKED + 20);
	return l.on == w.limited && l.per_s == w.limit_per_s;
}

/* Guards against a limit that is lifted by an answer older than the limit, or that never ends. */
static void test_limit_in_any_order(void)
{
	uint32_t bad = 0;

	for (uint32_t limits_played = 0; limits_played < 243; limits_played++)
		for (uint32_t order = 0; order < 120; order++)
			bad += !play_limits(limits_played, order);
	CU_ASSERT_EQUAL(bad, 0);
}

/*
 * Guards against a restarted process that takes a limit remembered by other nodes for
 * newer than the server's own answer.
 */
static void test_limit_told_by_others(void)
{
	lw_notice_limit_t l = { 0 };
	lw_notice_fields_t none = { 0 };

	CU_ASSERT(lw_notice_limit_from_peer(&l, 8));
	CU_ASSERT(lw_notice_limit_from_peer(&l, 5));
	CU_ASSERT_FALSE(lw_notice_limit_from_peer(&l, 9));
	CU_ASSERT_DOUBLE_EQUAL(l.per_s, 5, 1e-9);
	CU_ASSERT(lw_notice_limit_from_response(&l, &none, 10, 20));
	CU_ASSERT_FALSE(l.on);
	CU_ASSERT_FALSE(lw_notice_limit_from_peer(&l, 5));
}

/* length of the checked span and of the run, in tenths of a second */
#define TENTHS	       10
#define SPAN_TEN       (4 * TENTHS)
#define RUN_TEN	       3000
#define STEP_US	       100000
#define ALLOWED(limit) (1.5 * (limit)*4 + 5)

/* Guards against exceeding a server's limit, also when the limit changes or the node restarts. */
static void test_pace_in_any_span(void)
{
	static uint32_t came[RUN_TEN];
	uint32_t seed = 7, bad = 0;
	lw_ratelimit_t p = { 0 };
	double limit = 8, highest[RUN_TEN];

	lw_ratelimit_set(&p, true, limit, 0);
	for (uint32_t t = 0; t < RUN_TEN; t++) {
		uint64_t now = (uint64_t)(t + 1) * STEP_US;
		uint32_t in_span = 0;
		double top = 0;

		seed = seed * 1664525u + 1013904223u;
		if ((seed >> 8) % 50 == 0) {
			limit = (seed >> 16) % 40 / 2.0;
			lw_ratelimit_set(&p, true, limit, now);
		} else if ((seed >> 8) % 50 == 1) {
			p = (lw_ratelimit_t){ 0 };
			lw_ratelimit_set(&p, true, limit, now);
		}
		came[t] = 0;
		for (uint32_t asked = (seed >> 12) % 9; asked && lw_ratelimit_ready(&p, now);
		     asked--) {
			lw_ratelimit_take(&p, now);
			came[t]++;
		}
		highest[t] = limit;
		for (uint32_t i = 0; i < SPAN_TEN && i <= t; i++) {
			in_span += came[t - i];
			top = highest[t - i] > top ? highest[t - i] : top;
		}
		bad += in_span > ALLOWED(top);
	}
	CU_ASSERT_EQUAL(bad, 0);
}

/* Guards against a limit that is met by admitting far less than it allows. */
static void test_pace_is_used(void)
{
	lw_ratelimit_t p = { 0 };
	uint32_t started = 0;

	lw_ratelimit_set(&p, true, 15.7, 0);
	for (uint64_t now = 0; now < 20000000; now += 20000)
		for (; lw_ratelimit_ready(&p, now); started++)
			lw_ratelimit_take(&p, now);
	CU_ASSERT(started >= 0.95 * 15.7 * 20);
	CU_ASSERT_EQUAL(lw_ratelimit_slots(&p, 250000), 4);
	lw_ratelimit_set(&p, true, 0, 20000000);
	CU_ASSERT_FALSE(lw_ratelimit_ready(&p, 900000000));
	CU_ASSERT(lw_ratelimit_wait_ms(&p, 0, 900000000) > 60000);
	CU_ASSERT_EQUAL(lw_ratelimit_slots(&p, 250000), 1);
	lw_ratelimit_set(&p, false, 0, 900000000);
	CU_ASSERT(lw_ratelimit_ready(&p, 900000000));
	CU_ASSERT_EQUAL(lw_ratelimit_wait_ms(&p, 50, 900000000), 0);
}

/* suite_notice() - register the tests of this file. */
void suite_notice(void)
{
	CU_pSuite s = CU_add_suite("notice", NULL, NULL);

	CU_add_test(s, "leaving_in_head", test_leaving_in_head);
	CU_add_test(s, "leaving_in_any_order", test_leaving_in_any_order);
	CU_add_test(s, "limit_in_head", test_limit_in_head);
	CU_add_test(s, "limit_in_any_order", test_limit_in_any_order);
	CU_add_test(s, "limit_told_by_others", test_limit_told_by_others);
	CU_add_test(s, "pace_in_any_span", test_pace_in_any_span);
	CU_add_test(s, "pace_is_used", test_pace_is_used);
}
