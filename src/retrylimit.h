/*
 * The share of a service's requests that this node may send a second time.
 * Load pattern: a fault makes many requests fail at once, and their repeats
 * are the load that keeps the service down. The fleet's total is bounded
 * without asking anyone: each node keeps to its part.
 */
#ifndef LW_RETRYLIMIT_H
#define LW_RETRYLIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "level.h"

typedef struct lw_retryallowance {
	double ratio; /* retries for each request of a service, fleet-wide */
	double extra; /* retries on top in each window, fleet-wide */
	double window_s;
} lw_retryallowance_t;

/* Where in the call graph a repeat would happen. */
typedef struct lw_retryposition {
	uint32_t nodes; /* that share the extra */
	uint32_t above; /* levels of requests above this one */
	uint32_t below; /* levels of calls below it */
	uint32_t rank; /* of the user request, see level.h; the lowest is the most urgent */
	bool urgent; /* that request is of the most urgent kind */
	uint32_t used_below; /* per mille of the allowance that the calls below use, as told */
} lw_retryposition_t;

/* Slices of a window, and those that are kept: this window and the one before. */
#define LW_RETRY_SLICES 10
#define LW_RETRY_KEPT	(2 * LW_RETRY_SLICES)

typedef struct lw_retryslice {
	uint32_t requests;
	uint32_t retries; /* all repeats */
	uint32_t own; /* those this node decided on */
} lw_retryslice_t;

/* Width of a bin of the ranks that asked for repeats, in ranks. */
#define LW_RETRY_BIN  50
#define LW_RETRY_BINS (LW_LEVEL_ADMIT_ALL / LW_RETRY_BIN)

typedef struct lw_retrylimit {
	uint64_t newest; /* number of the newest slice */
	lw_retryslice_t slices[LW_RETRY_KEPT];
	double wanted; /* moving average: repeats asked for in a slice */
	uint32_t wanted_now; /* in the newest slice */
	float wanted_by_rank[LW_RETRY_BINS]; /* of late */
} lw_retrylimit_t;

void lw_retrylimit_count_request(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us);
void lw_retrylimit_count_retry(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us);
uint32_t lw_retrylimit_used(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t nodes,
			    uint64_t now_us);
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryallowance_t *t,
			const lw_retryposition_t *at, uint64_t now_us);

#endif
