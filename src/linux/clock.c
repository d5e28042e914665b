/*
 * Monotonic time. Wall-clock time is never used for deadlines: processes can be
 * paused and the clocks of hosts differ, so deadlines are transmitted as relative
 * milliseconds.
 */
#include "clock.h"

#include <time.h>

/* lw_now_ms() - CLOCK_MONOTONIC in milliseconds. */
uint64_t lw_now_ms(void)
{
	return lw_now_us() / 1000;
}

/* lw_now_us() - CLOCK_MONOTONIC in microseconds. */
uint64_t lw_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/*
 * lw_now_boot_us() - CLOCK_BOOTTIME in microseconds: includes the time a host was
 * suspended, which CLOCK_MONOTONIC does not.
 */
uint64_t lw_now_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/*
 * lw_now_unix_ms() - CLOCK_REALTIME in milliseconds. Only for comparisons with the start times
 * that backend servers report: this clock can be set back.
 */
uint64_t lw_now_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/*
 * lw_cond_init_monotonic() - initialises a condition variable whose timeouts use
 * CLOCK_MONOTONIC.
 */
void lw_cond_init_monotonic(pthread_cond_t *c)
{
	pthread_condattr_t a;

	pthread_condattr_init(&a);
	pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
	pthread_cond_init(c, &a);
	pthread_condattr_destroy(&a);
}

/*
 * lw_cond_wait_until() - waits on @c until it is signalled or until @until_ms
 * (CLOCK_MONOTONIC); returns 0 or ETIMEDOUT.
 */
int lw_cond_wait_until(pthread_cond_t *c, pthread_mutex_t *m, uint64_t until_ms)
{
	struct timespec ts = { (time_t)(until_ms / 1000), (long)(until_ms % 1000) * 1000000 };

	return pthread_cond_timedwait(c, m, &ts);
}
