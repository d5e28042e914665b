/*
 * Admission of inbound requests to the local backend server: a concurrency
 * limit (limiter.h), a share of it per criticality class, and a queue bounded
 * in time and length. No I/O; the guard turns the decisions into effects.
 */
#ifndef LW_ADMISSION_H
#define LW_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "limiter.h"
#include "platconf.h"

#define LW_QUEUE_MAX 256

typedef struct lw_waiting {
	uint64_t id;
	lw_class_t cls;
	uint32_t depth;
	uint64_t until_ms; /* the request is answered not_run at this time */
} lw_waiting_t;

/* A request that is offered for admission. */
typedef struct lw_offer {
	uint64_t id;
	lw_class_t cls;
	uint32_t depth; /* number of calls between the user request and this one */
	uint32_t deadline_ms; /* time left */
} lw_offer_t;

typedef enum lw_verdict {
	LW_ADMIT_NOW,
	LW_ADMIT_QUEUED,
	LW_ADMIT_OVERLOADED,
	LW_ADMIT_TOO_LATE, /* the deadline cannot be met */
} lw_verdict_t;

typedef struct lw_admission {
	lw_limiter_t limiter;
	double share[LW_CLASS_COUNT];
	uint32_t queue_ms; /* longest wait of sheddable requests; other classes wait longer */
	uint64_t seen[LW_CLASS_COUNT]; /* time of the last arrival of each class, plus one */
	size_t inflight;
	size_t nqueue;
	lw_waiting_t queue[LW_QUEUE_MAX]; /* oldest first */
} lw_admission_t;

void lw_admission_init(lw_admission_t *a, uint32_t slots);
void lw_admission_preset(lw_admission_t *a, const lw_preset_t *p);
lw_verdict_t lw_admission_offer(lw_admission_t *a, const lw_offer_t *o, uint64_t now_ms,
				uint64_t *displaced);
uint64_t lw_admission_next_expiry(const lw_admission_t *a);
bool lw_admission_next(lw_admission_t *a, uint64_t now_ms, uint64_t *id);
bool lw_admission_expired(lw_admission_t *a, uint64_t now_ms, uint64_t *id);
void lw_admission_done(lw_admission_t *a, uint32_t latency_ms, bool sample, bool overloaded,
		       uint64_t now_ms);
uint32_t lw_admission_retry_after(const lw_admission_t *a, lw_class_t cls);

#endif
