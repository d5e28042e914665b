/*
 * Admission at the backend server, without I/O. Load pattern: a burst that
 * the backend server cannot run at once. A request waits only as long as its
 * answer is still of use; one that would wait longer is refused at once, so
 * that its caller can go elsewhere while there is time.
 */
#ifndef LW_ADMIT_H
#define LW_ADMIT_H

#include <stdint.h>

#include "call.h"

typedef struct lw_admit_state {
	lw_load_t load;
	uint32_t ahead; /* waiting requests that would start before this one */
	uint32_t
		pace_ms; /* until it may start by the backend server's limit of requests a second */
} lw_admit_state_t;

uint32_t lw_admit_limit(uint32_t slots);
uint32_t lw_admit_expected_wait_ms(const lw_admit_state_t *st);
uint32_t lw_admit_wait_ms(const lw_admit_state_t *st, const lw_call_request_t *ask);
lw_fail_t lw_admit(const lw_admit_state_t *st, const lw_call_request_t *ask);
uint32_t lw_admit_retry_after_ms(const lw_load_t *load);

#endif
