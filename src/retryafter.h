/*
 * When a refused caller should come back. Load pattern: callers refused in
 * the same moment return in the same moment and are refused again. No I/O.
 */
#ifndef LW_RETRYAFTER_H
#define LW_RETRYAFTER_H

#include <stdint.h>

/* a refused caller is told to come back after this if nobody said better, ms */
#define LW_RETRY_AFTER_DEFAULT_MS 250

uint32_t lw_retry_after_ms(uint32_t room_ms, uint32_t priority, uint32_t left_ms, uint32_t random);

#endif
