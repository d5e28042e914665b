/*
 * Execution times of a backend server by kind of work. Load pattern: a server executes long and
 * short requests side by side, so that one average describes neither of them, and the average
 * rises although the server did not become slower. No I/O; the caller passes the time.
 */
#ifndef LW_WORKTIME_H
#define LW_WORKTIME_H

#include <stdbool.h>
#include <stdint.h>

#include "recentmax.h"

/* Kinds of work whose execution times a node keeps and reports; further ones use the average. */
#define LW_WORKTIME_KINDS_MAX 8

/* Recent execution time of one kind of work at one server. */
typedef struct lw_worktime {
	uint32_t kind; /* digest of the name of the route; 0: unknown */
	uint32_t us;
} lw_worktime_t;

/* Execution times that a node reports about its backend server. */
typedef struct lw_worktimes {
	lw_worktime_t at[LW_WORKTIME_KINDS_MAX];
	uint32_t n; /* 0: one average describes all work of the server */
} lw_worktimes_t;

/* What a node has observed about one kind of work at its backend server. */
typedef struct lw_workrow {
	uint32_t kind;
	uint32_t samples; /* up to LW_WORKTIME_SAMPLES_MIN, from which on @us is used */
	double us; /* moving average of the execution time */
	uint64_t sampled_us; /* time of the latest sample */
	uint64_t seen_us; /* time of the latest arrival or sample */
	uint32_t arrivals; /* since the latest step */
	double per_s; /* moving average of the arrivals per second */
	double left_us; /* moving average of what is left of the objective on arrival */
	uint32_t priority; /* the most urgent one that arrived recently */
	uint64_t priority_us; /* when it arrived */
	lw_recentmax_t longest; /* of its execution times */
} lw_workrow_t;

/* Observations by kind; all zero bytes: none. */
typedef struct lw_worktable {
	lw_workrow_t row[LW_WORKTIME_KINDS_MAX];
	uint32_t n;
} lw_worktable_t;

/* One request of a kind that arrives at the node. */
typedef struct lw_workarrival {
	uint32_t kind;
	uint32_t priority; /* 0 is the most urgent */
	uint64_t left_us; /* time until the user request misses its latency objective */
} lw_workarrival_t;

/* Samples from which on the average of a kind is used instead of that of all work. */
#define LW_WORKTIME_SAMPLES_MIN 20

/* Kinds differ enough, and a kind is long, if its time exceeds the shortest this many times. */
#define LW_WORKTIME_LONG_FACTOR 4

uint32_t lw_worktime_kind(const char *route);
uint32_t lw_worktimes_us(const lw_worktimes_t *t, uint32_t kind, uint32_t average_us);
void lw_worktable_arrival(lw_worktable_t *t, const lw_workarrival_t *a, uint64_t now_us);
void lw_worktable_sample(lw_worktable_t *t, uint32_t kind, uint64_t took_us, uint64_t now_us);
void lw_worktable_duration(lw_worktable_t *t, uint32_t kind, uint64_t took_us, uint64_t now_us);
uint64_t lw_worktable_longest_us(const lw_worktable_t *t, uint32_t kind, uint64_t now_us);
void lw_worktable_step(lw_worktable_t *t, uint64_t step_us, uint64_t now_us);
uint32_t lw_worktable_us(const lw_worktable_t *t, uint32_t kind, uint32_t average_us);
double lw_worktable_shortest_us(const lw_worktable_t *t);
bool lw_worktable_differs(const lw_worktable_t *t, bool in_effect);
void lw_worktable_report(const lw_worktable_t *t, lw_worktimes_t *out);

#endif
