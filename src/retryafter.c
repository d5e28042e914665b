/* The retry-after delay of a refused caller; see retryafter.h. */
#include "retryafter.h"

/* delays are spread from the time until capacity is expected to this many times that time */
#define SPREAD_FACTOR 2
/*
 * Each priority waits this much longer than the next more urgent one,
 * percent: urgent requests return first.
 */
#define PRIORITY_PERCENT 30
/* a caller waits at most this part (1/n) of the time it has left */
#define LEFT_DIVISOR 3
/* shortest delay; below it the travel time of the answer dominates, ms */
#define RETRY_AFTER_MIN_MS 20

/*
 * lw_retry_after_ms() - the delay in ms. @room_ms: time until capacity is
 * expected; @left_ms: time that the caller has left; @random: any 32 bits.
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
