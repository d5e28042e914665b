/* Control of the thread that reads the store; see storereader.h. */
#include "storereader.h"

#include <string.h>
#include <time.h>

#include "linux/clock.h"

/* other nodes' reads are reported every 0.7 s; a report older than this is out of date, us */
#define REMOTE_READ_RECENT_US 2000000
/* entries that expired during an outage are back within this time after it, us */
#define OUTAGE_RECOVERY_US 2100000

/* lw_storereader_init() - initialises the state; reading is disabled. */
void lw_storereader_init(lw_storereader_t *r, const lw_proxy_settings_t *set)
{
	pthread_condattr_t steady;

	memset(r, 0, sizeof(*r));
	r->set = set;
	pthread_mutex_init(&r->lock, NULL);
	/* monotonic, as a change of the wall-clock time must not extend a pause */
	pthread_condattr_init(&steady);
	pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
	pthread_cond_init(&r->wake, &steady);
}

/* lw_storereader_reason_name() - returns the reason's name in metrics. */
const char *lw_storereader_reason_name(lw_storereader_reason_t reason)
{
	static const char *const names[LW_STOREREADER_REASON_COUNT] = {
		"start", "reader", "news_old", "lease", "server_replaced",
	};

	return names[reason];
}

static void set_enabled(lw_storereader_t *r, bool enabled)
{
	if (__atomic_load_n(&r->enabled, __ATOMIC_RELAXED) == (uint32_t)enabled)
		return;
	pthread_mutex_lock(&r->lock);
	__atomic_store_n(&r->enabled, enabled, __ATOMIC_RELAXED);
	pthread_cond_signal(&r->wake);
	pthread_mutex_unlock(&r->lock);
}

/* lw_storereader_is_idle() - request loop: returns true if reading is disabled. */
bool lw_storereader_is_idle(const lw_storereader_t *r)
{
	return !__atomic_load_n(&r->enabled, __ATOMIC_RELAXED);
}

/* lw_storereader_start() - request loop: reads the store from now on, for @reason. */
void lw_storereader_start(lw_storereader_t *r, lw_storereader_reason_t reason)
{
	__atomic_store_n(&r->reason, reason, __ATOMIC_RELAXED);
	set_enabled(r, true);
}

/* lw_storereader_stop() - request loop: stops reading, as other nodes read the store. */
void lw_storereader_stop(lw_storereader_t *r)
{
	set_enabled(r, false);
}

/*
 * lw_storereader_set_deferring() - request loop: sets whether this node lets other nodes
 * retry the store first. In an outage every node of a fleet calls the store, which charges
 * for every call, including failed ones.
 */
void lw_storereader_set_deferring(lw_storereader_t *r, bool deferring)
{
	__atomic_store_n(&r->deferring, deferring, __ATOMIC_RELAXED);
}

/* lw_storereader_is_deferring() - reader thread: whether other nodes retry first. */
bool lw_storereader_is_deferring(const lw_storereader_t *r)
{
	return __atomic_load_n(&r->deferring, __ATOMIC_RELAXED);
}

/*
 * lw_storereader_set_for_others() - request loop: sets whether other nodes wait for what this
 * one reads while the store is still empty.
 */
void lw_storereader_set_for_others(lw_storereader_t *r, bool for_others)
{
	__atomic_store_n(&r->for_others, for_others, __ATOMIC_RELAXED);
}

/* lw_storereader_is_for_others() - reader thread: whether other nodes wait for it. */
bool lw_storereader_is_for_others(const lw_storereader_t *r)
{
	return __atomic_load_n(&r->for_others, __ATOMIC_RELAXED);
}

/*
 * lw_storereader_set_offset() - request loop: sets whether this node reads half a period after
 * another reader. A change ends the calls of all readers in the same moment; if they went on
 * in step, the nodes would hear of no read for longer than they wait before they ask others.
 */
void lw_storereader_set_offset(lw_storereader_t *r, bool offset)
{
	__atomic_store_n(&r->offset, offset, __ATOMIC_RELAXED);
}

/* lw_storereader_is_offset() - reader thread: whether it reads half a period later. */
bool lw_storereader_is_offset(const lw_storereader_t *r)
{
	return __atomic_load_n(&r->offset, __ATOMIC_RELAXED);
}

/*
 * lw_storereader_wait_started() - reader thread: waits until reading is enabled. Returns
 * true if it was disabled, so that the reader's state is outdated.
 */
bool lw_storereader_wait_started(lw_storereader_t *r)
{
	if (__atomic_load_n(&r->enabled, __ATOMIC_RELAXED))
		return false;
	pthread_mutex_lock(&r->lock);
	while (!r->enabled)
		pthread_cond_wait(&r->wake, &r->lock);
	pthread_mutex_unlock(&r->lock);
	return true;
}

/*
 * lw_storereader_read_now() - request loop: ends the current pause, as the last read is
 * outdated.
 */
void lw_storereader_read_now(lw_storereader_t *r)
{
	pthread_mutex_lock(&r->lock);
	r->read_now = true;
	pthread_cond_signal(&r->wake);
	pthread_mutex_unlock(&r->lock);
}

/*
 * lw_storereader_pause() - reader thread: waits for @ms milliseconds, or until
 * lw_storereader_read_now() is called.
 */
void lw_storereader_pause(lw_storereader_t *r, uint32_t ms)
{
	struct timespec until;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += ms / 1000;
	until.tv_nsec += (long)(ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&r->lock);
	while (!r->read_now && !rc)
		rc = pthread_cond_timedwait(&r->wake, &r->lock, &until);
	r->read_now = false;
	pthread_mutex_unlock(&r->lock);
}

/*
 * lw_storereader_call_started() - reader thread: a call to the store begins, which the
 * store may hold open for @wait_ms.
 */
void lw_storereader_call_started(lw_storereader_t *r, uint32_t wait_ms)
{
	uint64_t due = lw_now_boot_us() + (uint64_t)wait_ms * 1000;

	r->stats.calls[__atomic_load_n(&r->reason, __ATOMIC_RELAXED)]++;
	__atomic_store_n(&r->due_us, due, __ATOMIC_RELEASE);
}

/*
 * lw_storereader_call_failed() - reader thread: the call @call, a constant, failed with the HTTP
 * status @status; 0: none.
 */
void lw_storereader_call_failed(lw_storereader_t *r, const char *call, int status)
{
	__atomic_store_n(&r->failed_call, call, __ATOMIC_RELAXED);
	__atomic_store_n(&r->failed_status, status, __ATOMIC_RELAXED);
	__atomic_add_fetch(&r->failed_in_row, 1, __ATOMIC_RELAXED);
	__atomic_store_n(&r->failed_us, lw_now_boot_us(), __ATOMIC_RELEASE);
	__atomic_store_n(&r->due_us, 0, __ATOMIC_RELEASE);
}

/* lw_storereader_call_succeeded() - reader thread: the store answered just now. */
void lw_storereader_call_succeeded(lw_storereader_t *r)
{
	__atomic_store_n(&r->failed_in_row, 0, __ATOMIC_RELAXED);
	__atomic_store_n(&r->prior_read_us, r->read_us, __ATOMIC_RELEASE);
	__atomic_store_n(&r->read_us, lw_now_boot_us(), __ATOMIC_RELEASE);
	__atomic_store_n(&r->due_us, 0, __ATOMIC_RELEASE);
	ev_async_send(r->conf.loop, r->conf.wake);
}

/* lw_storereader_note_remote_read() - request loop: another node read the store at @at_us. */
void lw_storereader_note_remote_read(lw_storereader_t *r, uint64_t at_us)
{
	uint64_t before = __atomic_load_n(&r->remote_read_us, __ATOMIC_RELAXED);

	if (at_us <= before)
		return;
	if (at_us - before > REMOTE_READ_RECENT_US)
		__atomic_store_n(&r->remote_resumed_us, at_us, __ATOMIC_RELAXED);
	__atomic_store_n(&r->remote_read_us, at_us, __ATOMIC_RELAXED);
}

/*
 * lw_storereader_remote_read_recently() - reader thread: returns true if other nodes reach
 * the store, so that failed calls of this node are a local problem and no outage. Returns
 * false while other nodes have only just reached the store again, as this ends an outage:
 * treating the outage as a local problem would drop entries that expired during it before
 * their servers can write them again.
 */
bool lw_storereader_remote_read_recently(const lw_storereader_t *r)
{
	uint64_t now = lw_now_boot_us();

	return now - __atomic_load_n(&r->remote_read_us, __ATOMIC_RELAXED) <
		       REMOTE_READ_RECENT_US &&
	       now - __atomic_load_n(&r->remote_resumed_us, __ATOMIC_RELAXED) > OUTAGE_RECOVERY_US;
}

/*
 * lw_storereader_last_read_us() - returns the boot time of the last answer; 0 if there was
 * none.
 */
uint64_t lw_storereader_last_read_us(const lw_storereader_t *r)
{
	return __atomic_load_n(&r->read_us, __ATOMIC_ACQUIRE);
}

/*
 * lw_storereader_prior_read_us() - returns the boot time of the last answer but one; 0 if there was
 * none. Whatever the last answer, which may not have been processed yet, shows to be gone was
 * there then.
 */
uint64_t lw_storereader_prior_read_us(const lw_storereader_t *r)
{
	return __atomic_load_n(&r->prior_read_us, __ATOMIC_ACQUIRE);
}

/*
 * lw_storereader_last_known_read_us() - returns the boot time at which the store last
 * answered any node, as far as known.
 */
uint64_t lw_storereader_last_known_read_us(const lw_storereader_t *r)
{
	uint64_t own = lw_storereader_last_read_us(r);
	uint64_t others = __atomic_load_n(&r->remote_read_us, __ATOMIC_RELAXED);

	return own > others ? own : others;
}

/* lw_storereader_last_failure() - returns the last failed call. */
lw_storereader_failure_t lw_storereader_last_failure(const lw_storereader_t *r)
{
	return (lw_storereader_failure_t){
		.at_us = __atomic_load_n(&r->failed_us, __ATOMIC_ACQUIRE),
		.call = __atomic_load_n(&r->failed_call, __ATOMIC_RELAXED),
		.status = __atomic_load_n(&r->failed_status, __ATOMIC_RELAXED),
		.in_row = __atomic_load_n(&r->failed_in_row, __ATOMIC_RELAXED),
	};
}

/*
 * lw_storereader_call_overdue() - returns true if the answer of the current call is overdue
 * by more than @us.
 */
bool lw_storereader_call_overdue(const lw_storereader_t *r, uint64_t us)
{
	uint64_t due = __atomic_load_n(&r->due_us, __ATOMIC_ACQUIRE);

	return due && lw_now_boot_us() > due + us;
}
