/* When a refused caller should come back; see comeback.h. */
#include "retryafter.h"

/* callers are spread over this many times the time until room is expected */
#define SPREAD_FACTOR 2
/* each rank of priority waits so much longer, percent: urgent work is back first */
#define PRIORITY_PERCENT 30
/* callers wait at most this part of the time they have left (1/n) */
#define LEFT_DIVISOR 3
/* shortest wait: below it the answer's way back dominates, ms */
#define RETRY_AFTER_MIN_MS 20

/*
 * lw_comeback_ms() - milliseconds to wait; @room_ms: until room is expected,
 * @left_ms: what the caller has left, @random: any 32 bits.
 */
uint32_t lw_retry_after_ms(uint32_t room_ms, uint32_t priority, uint32_t left_ms, uint32_t random)
{
	uint64_t base = (uint64_t)room_ms * (100 + PRIORITY_PERCENT * (uint64_t)priority) / 100;
	uint64_t ms = base + base * (SPREAD_FACTOR - 1) * (random >> 16) / 65536;
	uint64_t most = left_ms / LEFT_DIVISOR;

	if (ms > most)
		ms = most * 3 / 4 + most / 4 * (random >> 16) / 65536;
	return ms < RETRY_AFTER_MIN_MS ? RETRY_AFTER_MIN_MS : (uint32_t)ms;
}
