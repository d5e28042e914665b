/*
 * Randomised search over the reports that nodes exchange about requests that crash
 * servers: reports that are lost, duplicated, late or reordered, nodes that restart,
 * callers that retry at any node. The guarantees are checked at each step.
 */
#include <string.h>

#include "lwtest.h"
#include "quarantine.h"

#define NODES	    4
#define RUNS	    3000
#define STEPS	    160
#define STEP_US	    50000
#define REPORTS_MAX 256 /* reports in flight */
/* guarantee: a request crashes at most this many servers in one run if all reports arrive */
#define CRASHES_MAX 8

typedef struct report_in_flight {
	lw_suspect_t what;
	int to;
} report_in_flight_t;

typedef struct search {
	lw_quarantine_t *node[NODES];
	report_in_flight_t reports[REPORTS_MAX];
	size_t nreports;
	uint64_t now_us, process, rng;
	uint32_t bad_crashes;
	bool loses, restarts;
	bool good_tried_at_a_crash; /* only then may the good request be held */
} search_t;

static const lw_fingerprint_t bad = { 1, 1 }, good = { 1, 2 };

static uint32_t draw(search_t *s, uint32_t below)
{
	s->rng = s->rng * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(s->rng >> 33) % below;
}

static void send_report(search_t *s, const lw_suspect_t *what, int from)
{
	for (int to = 0; to < NODES; to++) {
		if (to == from || s->nreports == REPORTS_MAX || (s->loses && draw(s, 5) == 0))
			continue;
		s->reports[s->nreports++] = (report_in_flight_t){ *what, to };
	}
}

/* one of the reports in flight arrives; now and then it stays and arrives again later */
static void deliver(search_t *s)
{
	size_t i = draw(s, (uint32_t)s->nreports);
	report_in_flight_t w = s->reports[i];
	const lw_suspect_t *update;

	if (draw(s, 8))
		s->reports[i] = s->reports[--s->nreports];
	update = lw_quarantine_merge(s->node[w.to], &w.what, s->now_us);
	if (update)
		send_report(s, update, w.to);
}

/* a server at node @n crashes with both requests in flight, or with the bad one alone */
static void crash_server(search_t *s, int n, bool tried, bool good_in_flight, bool good_tried)
{
	s->process++;
	s->bad_crashes++;
	send_report(s, lw_quarantine_server_crashed(s->node[n], &bad, s->process, tried, s->now_us),
		    n);
	if (!good_in_flight)
		return;
	s->good_tried_at_a_crash |= good_tried;
	send_report(
		s,
		lw_quarantine_server_crashed(s->node[n], &good, s->process, good_tried, s->now_us),
		n);
}

static void request_bad(search_t *s, int n)
{
	lw_quarantine_verdict_t good_now = lw_quarantine_verdict(s->node[n], &good, s->now_us);
	lw_quarantine_verdict_t v = lw_quarantine_verdict(s->node[n], &bad, s->now_us);
	bool in_flight = good_now != LW_QUARANTINE_HELD && draw(s, 3) == 0;

	if (v != LW_QUARANTINE_HELD)
		crash_server(s, n, v == LW_QUARANTINE_TRIAL, in_flight,
			     good_now == LW_QUARANTINE_TRIAL);
}

static void request_good(search_t *s, int n)
{
	const lw_suspect_t *update;

	if (lw_quarantine_verdict(s->node[n], &good, s->now_us) == LW_QUARANTINE_HELD)
		return;
	update = lw_quarantine_answered(s->node[n], &good, s->now_us);
	if (update)
		send_report(s, update, n);
}

/* a node restarts and another node sends it the list of restricted requests */
static void restart_node(search_t *s, int n)
{
	const lw_suspect_t *list[8];
	size_t known;

	lw_quarantine_free(s->node[n]);
	s->node[n] = lw_quarantine_new();
	known = lw_quarantine_list(s->node[(n + 1) % NODES], list, 8);
	for (size_t i = 0; i < known; i++)
		lw_quarantine_merge(s->node[n], list[i], s->now_us);
}

static void step(search_t *s)
{
	int n = (int)draw(s, NODES);

	s->now_us += STEP_US;
	switch (draw(s, 4)) {
	case 0:
		request_bad(s, n);
		break;
	case 1:
		request_good(s, n);
		break;
	case 2:
		if (s->restarts && draw(s, 10) == 0)
			restart_node(s, n);
		break;
	default:
		lw_quarantine_expire(s->node[n], s->now_us);
		break;
	}
	for (uint32_t i = draw(s, 12); i && s->nreports; i--)
		deliver(s);
}

static void deliver_all(search_t *s)
{
	for (int i = 0; i < 20000 && s->nreports; i++)
		deliver(s);
}

static void run(uint64_t seed, bool loses, bool restarts)
{
	search_t s = { .now_us = 1000000, .rng = seed, .loses = loses, .restarts = restarts };

	for (int n = 0; n < NODES; n++)
		s.node[n] = lw_quarantine_new();
	for (int i = 0; i < STEPS; i++) {
		step(&s);
		if (!s.good_tried_at_a_crash)
			for (int n = 0; n < NODES; n++)
				CU_ASSERT_FATAL(lw_quarantine_verdict(s.node[n], &good, s.now_us) !=
						LW_QUARANTINE_HELD);
	}
	deliver_all(&s);
	for (int n = 1; n < NODES && !loses && !restarts; n++) {
		CU_ASSERT_EQUAL(lw_quarantine_verdict(s.node[n], &bad, s.now_us),
				lw_quarantine_verdict(s.node[0], &bad, s.now_us));
		CU_ASSERT_EQUAL(lw_quarantine_verdict(s.node[n], &good, s.now_us),
				lw_quarantine_verdict(s.node[0], &good, s.now_us));
	}
	if (!loses && !restarts)
		CU_ASSERT_TRUE(s.bad_crashes <= CRASHES_MAX);
	for (int n = 0; n < NODES; n++)
		lw_quarantine_free(s.node[n]);
}

static void all_reports_arrive(void)
{
	for (uint64_t seed = 1; seed <= RUNS; seed++)
		run(seed, false, false);
}

static void reports_are_lost_and_nodes_restart(void)
{
	for (uint64_t seed = 1; seed <= RUNS; seed++)
		run(seed, true, seed % 2);
}

/* a report of trials without a crashed server: no code may depend on finding that server */
static void inconsistent_report(void)
{
	lw_quarantine_t *q = lw_quarantine_new();
	lw_suspect_t told = { .print = bad, .trials = 3, .last_crash_us = 5, .held_until_us = 10 };

	lw_quarantine_merge(q, &told, 6);
	CU_ASSERT_EQUAL(lw_quarantine_verdict(q, &bad, 7), LW_QUARANTINE_HELD);
	CU_ASSERT_EQUAL(lw_quarantine_verdict(q, &bad, 11), LW_QUARANTINE_TRIAL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(lw_quarantine_find(q, &bad));
	CU_ASSERT_EQUAL(lw_quarantine_find(q, &bad)->ncrashes, 0);
	lw_quarantine_free(q);
}

/* suite_quarantine() - register the tests of this file. */
void suite_quarantine(void)
{
	CU_pSuite s = CU_add_suite("quarantine", NULL, NULL);

	CU_add_test(s, "all reports arrive, in any order", all_reports_arrive);
	CU_add_test(s, "inconsistent report", inconsistent_report);
	CU_add_test(s, "reports are lost and nodes restart", reports_are_lost_and_nodes_restart);
}
