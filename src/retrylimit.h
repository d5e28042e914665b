/*
 * The share of a service's requests that this node may retry. A fault makes
 * many requests fail at once, and their retries are the load that keeps the
 * service down. The total of the fleet is bounded in two ways: each node stays
 * within its share, and stops when the nodes of the servers report that the
 * allowance of the fleet is used up. The shares alone do not add up to it when
 * requests move from one node to another, as each node counts the window in
 * which it had most.
 */
#ifndef LW_RETRYLIMIT_H
#define LW_RETRYLIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "level.h"

typedef struct lw_retryallowance {
	double ratio; /* retries per request of a service, in the whole fleet */
	double extra; /* additional retries in each window, in the whole fleet */
	double window_s;
} lw_retryallowance_t;

/* Position of a retry in the call graph. */
typedef struct lw_retryposition {
	uint32_t nodes; /* number of nodes that share the additional retries */
	uint32_t above; /* depths of the call chain above this request */
	uint32_t below; /* depths of the call chain below it */
	uint32_t rank; /* rank of the user request, see level.h; the lowest is the most urgent */
	uint32_t urgent_priorities; /* the most urgent ones, one bit each */
	uint32_t used_below; /* per mille of the allowance that the calls below use, as reported */
	uint32_t used_fleet; /* per mille of it that all nodes use, as the servers' nodes report */
	bool begun; /* retries were already sent for the request that the call belongs to */
	uint32_t lot; /* random number of this process, the same in each call */
} lw_retryposition_t;

/* Slices per window, and slices that are kept: this window and the previous one. */
#define LW_RETRY_SLICES 10
#define LW_RETRY_KEPT	(2 * LW_RETRY_SLICES)

typedef struct lw_retryslice {
	uint32_t requests;
	uint32_t retries; /* all retries */
	uint32_t own; /* retries that this node decided on */
} lw_retryslice_t;

/* Width of a bin of ranks, in ranks. */
#define LW_RETRY_BIN  50
#define LW_RETRY_BINS (LW_LEVEL_ADMIT_ALL / LW_RETRY_BIN)

typedef struct lw_retrylimit {
	uint64_t newest; /* number of the newest slice */
	lw_retryslice_t slices[LW_RETRY_KEPT];
	double sent; /* recent attempts, first ones and retries */
	double failed; /* those of them for which a retry was asked for */
	float by_rank[LW_RETRY_BINS]; /* recent first attempts, by rank */
} lw_retrylimit_t;

/* The windows that the allowance is based on: the last one, half a window before, and before. */
#define LW_RETRY_WINDOWS 3

/* Requests that reached one or several backend servers of a service, as their nodes count them. */
typedef struct lw_arrivals {
	uint32_t retries; /* in a window and the slice in which it began */
	/* first attempts in the window so far, in the one half a window before, and before it */
	uint32_t requests[LW_RETRY_WINDOWS];
} lw_arrivals_t;

void lw_retrylimit_count_request(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t rank,
				 uint64_t now_us);
void lw_retrylimit_count_retry(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us);
uint32_t lw_retrylimit_used(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t nodes,
			    uint64_t now_us);
void lw_retrylimit_arrivals(const lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us,
			    lw_arrivals_t *out);
void lw_arrivals_add(lw_arrivals_t *sum, const lw_arrivals_t *one);
uint32_t lw_arrivals_used(const lw_arrivals_t *sum, const lw_retryallowance_t *t, double part);
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryallowance_t *t,
			const lw_retryposition_t *at, uint64_t now_us);

#endif
