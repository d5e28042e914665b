/*
 * Fair shares among organisations at a full service. Load pattern: one organisation asks for
 * many times its usual load. Ranks within a priority are derived from request ids, so the
 * organisation that sends the most requests would get the most capacity, at the cost of all
 * others.
 *
 * Weighted max-min fairness: at an admission level that admits a part of the requests, each
 * organisation gets its demand or its weighted share, whichever is less. The node where a
 * request enters maps the position of the request within its priority, so that levels
 * (level.h) need not know of organisations. Positions stay evenly spread over the priority while
 * at least three quarters of the requests are within the limits.
 * Requests beyond the rate limit of their organisation are the least urgent.
 *
 * Organisations share with those of the same priority only: a priority has ranks of its own.
 * The demand is reported by the quota coordinators, or estimated from what this node received. No
 * I/O; the caller passes the time.
 */
#ifndef LW_FAIRSHARE_H
#define LW_FAIRSHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "organisation.h"

/* Most organisations that have shares; requests of the others keep their positions. */
#define LW_FAIRSHARE_ORGS_MAX 10000
/* Time constant of the average of the demand at this node, s. */
#define LW_FAIRSHARE_MEMORY_S 3.0
/* An organisation without a request for this long has no share, us. */
#define LW_FAIRSHARE_IDLE_US 3000000
/* Interval at which the shares are computed, us. */
#define LW_FAIRSHARE_STEP_US 250000
/* Time for which a node counts requests before it uses its own counts, us. */
#define LW_FAIRSHARE_START_US 1000000

/* What the shares were computed from. */
typedef struct lw_fairshare_state {
	bool in_effect; /* at least two organisations of one priority have sent requests */
	uint32_t norgs; /* organisations with demand */
	uint32_t ntold; /* of those: demand reported by a quota coordinator */
	uint64_t moved_back; /* requests that were moved to a less urgent position */
} lw_fairshare_state_t;

/* Where the demand at all nodes comes from. */
typedef struct lw_fairshare_source {
	/* requests per second of an organisation at all nodes; 0: unknown */
	double (*told)(const void *ctx, uint64_t org, uint64_t now_us);
	const void *ctx;
	uint32_t nodes; /* number of nodes in the fleet */
} lw_fairshare_source_t;

typedef struct lw_fairshare lw_fairshare_t;

lw_fairshare_t *lw_fairshare_new(uint64_t now_us);
void lw_fairshare_free(lw_fairshare_t *f);
void lw_fairshare_set_orgs(lw_fairshare_t *f, const lw_orgs_t *orgs, uint64_t now_us);
void lw_fairshare_count(lw_fairshare_t *f, uint64_t org, uint64_t now_us);
bool lw_fairshare_step(lw_fairshare_t *f, const lw_fairshare_source_t *source, uint64_t now_us);
uint32_t lw_fairshare_rank(lw_fairshare_t *f, uint64_t org, uint32_t rank);
lw_fairshare_state_t lw_fairshare_state(const lw_fairshare_t *f);
size_t lw_fairshare_bytes(const lw_fairshare_t *f);

#endif
