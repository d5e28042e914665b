/*
 * Admission control of the local backend server, for bursts that exceed its
 * capacity. A request is queued only while its answer is still useful; a
 * request that would wait longer is rejected at once, so that its caller has
 * time left to try another backend server. No I/O.
 */
#ifndef LW_ADMIT_H
#define LW_ADMIT_H

#include <stdint.h>

#include "call.h"

/* Expected wait at a limit of 0, which a node reports that accepts nothing, ms. */
#define LW_ADMIT_NEVER_MS UINT32_MAX

typedef struct lw_admit_state {
	lw_load_t load;
	uint32_t ahead; /* queued requests that would start before this one */
	/* expected execution time of the request; 0: load.service_us, as for all work */
	uint32_t work_us;
	uint64_t slot_wait_us; /* expected wait for a slot, see slotshare.h; used with work_us */
	uint32_t rate_wait_ms; /* wait imposed by the announced rate limit */
} lw_admit_state_t;

uint32_t lw_admit_limit(uint32_t slots);
uint32_t lw_admit_expected_wait_ms(const lw_admit_state_t *st);
uint32_t lw_admit_wait_ms(const lw_admit_state_t *st, const lw_call_request_t *ask);
lw_fail_t lw_admit(const lw_admit_state_t *st, const lw_call_request_t *ask);
uint32_t lw_admit_retry_after_ms(const lw_load_t *load);

#endif
