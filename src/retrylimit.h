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

typedef struct lw_retryterms {
	double ratio; /* retries for each request of a service, fleet-wide */
	double extra; /* retries on top in each window, fleet-wide */
	double window_s;
} lw_retryterms_t;

/* Where in the call graph a repeat would happen. */
typedef struct lw_retryplace {
	uint32_t nodes; /* that share the extra */
	uint32_t above; /* levels of requests above this one */
	uint32_t below; /* levels of calls below it */
	bool urgent; /* for a user request of the highest priority */
} lw_retryplace_t;

#define LW_RETRY_SLICES 10

typedef struct lw_retrylimit {
	uint64_t slice; /* number of the newest slice */
	uint32_t requests[LW_RETRY_SLICES];
	uint32_t retries[LW_RETRY_SLICES]; /* all repeats */
	uint32_t own[LW_RETRY_SLICES]; /* those this node decided on */
} lw_retrylimit_t;

void lw_retrylimit_request(lw_retrylimit_t *l, const lw_retryterms_t *t, uint64_t now_us);
void lw_retrylimit_repeat(lw_retrylimit_t *l, const lw_retryterms_t *t, uint64_t now_us);
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryterms_t *t, const lw_retryplace_t *at,
			uint64_t now_us);

#endif
