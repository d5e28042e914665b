/*
 * Bounded exhaustive search over what becomes of one request while the processes that carry it
 * stop, start anew and fail: the node where it enters, the node beside its first server and the one
 * beside another server of the service. Their decisions are those of stopplan.c and retryrule.c;
 * the rest is a model in steps of 0.1 s. Connections that are lost with both processes alive are
 * searched in test_meshoutcomes.c.
 */
#include <stdio.h>
#include <string.h>

#include "lwtest.h"
#include "retryrule.h"
#include "stopplan.h"

#define STEP_MS	     100
#define END_MS	     13000
#define GRACE_MS     6000
#define START_MS     500 /* from the end of a process until the next one runs */
#define UNKNOWN_MS   2600 /* work of an unknown kind may last this long */
#define EXCUSED_MS   5000 /* the last sixth of the grace period begins */
#define SENT_MAX_MS  3000 /* only what is sent up to now after SIGTERM is excused */
#define EVENTS	     3 /* maximum per run */
#define ATTEMPTS_MAX 2
#define NEVER	     -1

enum { ENTRY, FIRST, OTHER, NODES };

typedef enum { STOP_ENTRY, STOP_FIRST, STOP_OTHER, FIRST_FAILS, SHED, BREAK, LEAVE, KINDS } kind_t;

typedef struct event {
	kind_t what;
	int at_ms;
} event_t;

typedef struct request {
	int at_ms; /* when it arrives */
	int work_ms;
	int deadline_ms;
	bool known; /* a run of its kind that was as long is known */
	bool idempotent;
} request_t;

typedef struct node {
	int term_ms; /* time of SIGTERM; NEVER */
	int refusing_ms; /* since when it accepts nothing; NEVER */
	int down_ms; /* when its process ended; NEVER: it runs */
} node_t;

typedef struct run {
	const request_t *q;
	int now;
	node_t node[NODES];
	int at; /* node whose server works on the request, or ENTRY: none */
	int began_ms;
	uint32_t tried; /* bit for each node that was tried */
	lw_attempts_t attempts;
	int executions;
	int status; /* the final answer; 0: none yet */
	bool left; /* the caller has left */
	bool unplanned; /* a failure that no operator asked for */
} run_t;

static uint64_t runs, violations;

static const int times_ms[] = { 0, 600, 1400, 2400, 3000, 4700 };
#define TIMES 6

/* time until a stopping process exits at the latest */
static uint64_t left_us(const run_t *r, int node)
{
	int exit_ms = r->node[node].term_ms + (int)(lw_stopplan_exit_us(GRACE_MS * 1000) / 1000);

	return exit_ms > r->now ? (uint64_t)(exit_ms - r->now) * 1000 : 0;
}

static bool accepts(const run_t *r, int node)
{
	const node_t *n = &r->node[node];
	lw_stopwork_t work = {
		.deadline_us = (uint64_t)(r->q->at_ms + r->q->deadline_ms - r->now) * 1000,
		.longest_us = r->q->known ? (uint64_t)r->q->work_ms * 1000 : 0,
		.known = r->q->known,
		.idempotent = r->q->idempotent,
	};

	if (n->term_ms == NEVER)
		return true;
	work.left_us = left_us(r, node);
	return n->refusing_ms == NEVER && lw_stopplan_judge(&work).basis != LW_STOPBASIS_NONE;
}

static void answer(run_t *r, lw_retry_verdict_kind_t v)
{
	r->status = v == LW_VERDICT_REFUSE ? 503 : v == LW_VERDICT_TIMEOUT ? 504 : 502;
	r->at = ENTRY;
}

static void after_failure(run_t *r, lw_fail_t why);

/* sends the request to the next node that was not tried yet */
static void attempt(run_t *r, lw_fail_t last)
{
	int to = !(r->tried & 1u << FIRST) ? FIRST : OTHER;

	if (r->tried & 1u << to) {
		answer(r, lw_retry_final_verdict(&r->attempts, last));
		return;
	}
	r->tried |= 1u << to;
	if (r->node[to].down_ms != NEVER) {
		after_failure(r, LW_FAIL_UNSENT);
	} else if (!accepts(r, to)) {
		after_failure(r, LW_FAIL_LEAVING);
	} else {
		r->at = to;
		r->began_ms = r->now;
		r->executions++;
	}
}

/* an attempt ended with @why: as lw_exchange_after_failure() */
static void after_failure(run_t *r, lw_fail_t why)
{
	lw_retry_verdict_kind_t v;

	r->at = ENTRY;
	if (lw_fail_reached_server(why))
		r->attempts.reached++;
	else
		r->attempts.undelivered++;
	if (!lw_fail_not_executed(why))
		r->attempts.maybe_executed = true;
	r->attempts.left_ms = (uint32_t)(r->q->at_ms + r->q->deadline_ms - r->now);
	v = lw_retry_verdict(&r->attempts, why);
	if (v == LW_VERDICT_RETRY_OTHER || v == LW_VERDICT_RETRY_OTHER_COUNTED)
		attempt(r, why);
	else
		answer(r, lw_retry_final_verdict(&r->attempts, why));
}

static bool in_progress(const run_t *r, int node)
{
	return !r->status && !r->left && r->now >= r->q->at_ms && (node == ENTRY || r->at == node);
}

/* the process ends with what it has in progress */
static void end_process(run_t *r, int node)
{
	r->node[node] = (node_t){ NEVER, NEVER, r->now };
	if (!in_progress(r, node))
		return;
	if (node != ENTRY) {
		after_failure(r, LW_FAIL_BROKEN);
		return;
	}
	r->attempts.maybe_executed |= r->at != ENTRY;
	answer(r, lw_retry_final_verdict(&r->attempts, LW_FAIL_LEAVING));
}

static void stop_step(run_t *r, int node)
{
	node_t *n = &r->node[node];
	int other = node == FIRST ? OTHER : FIRST;
	int since_ms = node == ENTRY ? r->q->at_ms : r->began_ms;
	lw_stopstate_t state = {
		.since_us = (uint64_t)(r->now - n->term_ms) * 1000,
		.grace_us = GRACE_MS * 1000,
		.oldest_us = in_progress(r, node) ? (uint64_t)(r->now - since_ms) * 1000 + 1 : 0,
		.refusing_us =
			n->refusing_ms == NEVER ? 0 : (uint64_t)(r->now - n->refusing_ms) * 1000,
		.at_work = r->at == node,
		.last = node != ENTRY && !accepts(r, other),
	};
	lw_stopplan_t plan = lw_stopplan(&state);

	if (plan.refuse && n->refusing_ms == NEVER)
		n->refusing_ms = r->now;
	if (plan.exit)
		end_process(r, node);
}

static void stop(run_t *r, int node)
{
	if (r->node[node].down_ms == NEVER && r->node[node].term_ms == NEVER)
		r->node[node].term_ms = r->now;
}

static void inject(run_t *r, kind_t what)
{
	switch (what) {
	case STOP_ENTRY:
		stop(r, ENTRY);
		break;
	case STOP_FIRST:
		stop(r, FIRST);
		break;
	case STOP_OTHER:
		stop(r, OTHER);
		break;
	case FIRST_FAILS:
		r->unplanned = true;
		end_process(r, FIRST);
		break;
	case SHED: /* the server had not begun */
		if (r->at != ENTRY) {
			r->executions--;
			after_failure(r, LW_FAIL_SHED);
		}
		break;
	case BREAK:
		r->unplanned = true;
		if (r->at != ENTRY)
			after_failure(r, LW_FAIL_BROKEN);
		break;
	default:
		r->left = r->now >= r->q->at_ms && !r->status;
		r->at = r->left ? ENTRY : r->at;
	}
}

static void arrive(run_t *r)
{
	const node_t *n = &r->node[ENTRY];
	lw_stopstate_t state = { .since_us = (uint64_t)(r->now - n->term_ms) * 1000,
				 .grace_us = GRACE_MS * 1000 };

	if (n->down_ms != NEVER)
		r->left = true; /* it is never read */
	else if (n->term_ms != NEVER && lw_stopplan(&state).refuse_callers)
		answer(r, LW_VERDICT_REFUSE);
	else
		attempt(r, LW_FAIL_NO_SERVER);
}

/* whether the rules allow that the answer came while the server was at work */
static bool cut_is_excused(const run_t *r, int entry_term_ms)
{
	const request_t *q = r->q;
	bool by_entry = entry_term_ms != NEVER && q->at_ms <= entry_term_ms + SENT_MAX_MS &&
			r->now >= entry_term_ms + EXCUSED_MS;

	return r->unplanned || r->status == 504 || by_entry ||
	       (!q->known && q->work_ms > UNKNOWN_MS);
}

static void violation(const run_t *r, const event_t *ev, int n, const char *rule)
{
	if (violations++ >= 5)
		return;
	printf("  %s: status=%d at=%d work=%d deadline=%d known=%d idempotent=%d executions=%d:",
	       rule, r->status, r->q->at_ms, r->q->work_ms, r->q->deadline_ms, r->q->known,
	       r->q->idempotent, r->executions);
	for (int i = 0; i < n; i++)
		printf(" %d@%d", (int)ev[i].what, ev[i].at_ms);
	printf("\n");
}

static void play(const request_t *q, const event_t *ev, int n)
{
	run_t r = { .q = q,
		    .attempts = { .max_reached = ATTEMPTS_MAX,
				  .idempotent = q->idempotent,
				  .body_kept = true } };
	int entry_term_ms = NEVER;

	for (int i = 0; i < NODES; i++)
		r.node[i] = (node_t){ NEVER, NEVER, NEVER };
	for (r.now = 0; r.now < END_MS && !r.status && !r.left; r.now += STEP_MS) {
		for (int i = 0; i < n; i++)
			if (ev[i].at_ms == r.now)
				inject(&r, ev[i].what);
		entry_term_ms = r.node[ENTRY].term_ms;
		if (r.now == q->at_ms)
			arrive(&r);
		if (r.at != ENTRY && r.now >= r.began_ms + q->work_ms)
			r.status = 200;
		else if (in_progress(&r, ENTRY) && r.now >= q->at_ms + q->deadline_ms)
			answer(&r, LW_VERDICT_TIMEOUT);
		for (int i = 0; i < NODES; i++) {
			if (r.node[i].term_ms != NEVER)
				stop_step(&r, i);
			if (r.node[i].down_ms != NEVER && r.now >= r.node[i].down_ms + START_MS)
				r.node[i].down_ms = NEVER;
		}
		if (r.status)
			break;
	}
	runs++;
	if (!r.status && !r.left)
		violation(&r, ev, n, "no answer");
	if (r.status == 503 && r.executions)
		violation(&r, ev, n, "refused, though it was executed");
	if (!q->idempotent && r.executions > 1)
		violation(&r, ev, n, "executed twice");
	if (r.status != 200 && r.executions && !r.left && !cut_is_excused(&r, entry_term_ms))
		violation(&r, ev, n,
			  "ended with an answer of the node while the server was at work");
}

static void search(const request_t *q, event_t *ev, int n, int first)
{
	play(q, ev, n);
	if (n == EVENTS)
		return;
	for (int i = first; i < KINDS * TIMES; i++) {
		ev[n] = (event_t){ (kind_t)(i % KINDS), times_ms[i / KINDS] };
		search(q, ev, n + 1, i + 1);
	}
}

/* Guards against a request that is lost, refused though it ran, or executed twice by any order. */
static void test_request_in_all_orders_of_stops(void)
{
	static const int arrive_ms[] = { 100, 1500, 2700 };
	static const int work_ms[] = { 300, 2500, 3600 };
	static const int deadline_ms[] = { 2000, 10000 };
	event_t ev[EVENTS];

	for (int i = 0; i < 3 * 3 * 2 * 4; i++) {
		request_t q = { arrive_ms[i % 3], work_ms[i / 3 % 3], deadline_ms[i / 9 % 2],
				i / 18 % 2 != 0, i / 36 != 0 };

		search(&q, ev, 0, 0);
	}
	printf("  %llu runs\n", (unsigned long long)runs);
	CU_ASSERT_EQUAL(violations, 0);
}

void suite_fates(void)
{
	CU_pSuite s = CU_add_suite("what becomes of a request", NULL, NULL);

	CU_add_test(s, "a request in all orders of stops and failures",
		    test_request_in_all_orders_of_stops);
}
