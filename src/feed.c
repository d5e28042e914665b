/* Control of the thread that reads the store; see feed.h. */
#include "feed.h"

#include <string.h>
#include <time.h>

#include "linux/clock.h"

/* news of others' reads that is older says nothing; they come every 0.7 s, us */
#define OTHERS_LATELY_US 2000000
/* after an outage entries that lapsed in it are back within this time, us */
#define OUTAGE_OVER_US 2100000

/* lw_feed_init() - the store is wanted at first. */
void lw_feed_init(lw_feed_t *f, const lw_proxy_settings_t *set)
{
	pthread_condattr_t steady;

	memset(f, 0, sizeof(*f));
	f->set = set;
	f->wanted = 1;
	pthread_mutex_init(&f->lock, NULL);
	/* the time of day may jump, a pause must not grow with it */
	pthread_condattr_init(&steady);
	pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
	pthread_cond_init(&f->wake, &steady);
}

/* lw_feed_why_name() - as in metrics. */
const char *lw_feed_why_name(lw_feed_why_t why)
{
	static const char *const names[LW_FEED_WHY_COUNT] = {
		"start", "reader", "news_old", "lease", "server_replaced",
	};

	return names[why];
}

static void set_wanted(lw_feed_t *f, bool wanted)
{
	if (__atomic_load_n(&f->wanted, __ATOMIC_RELAXED) == (uint32_t)wanted)
		return;
	pthread_mutex_lock(&f->lock);
	__atomic_store_n(&f->wanted, wanted, __ATOMIC_RELAXED);
	pthread_cond_signal(&f->wake);
	pthread_mutex_unlock(&f->lock);
}

/* lw_feed_rests() - from the loop: whether the store is not read now. */
bool lw_feed_rests(const lw_feed_t *f)
{
	return !__atomic_load_n(&f->wanted, __ATOMIC_RELAXED);
}

/* lw_feed_want() - from the loop: read the store from now on. */
void lw_feed_want(lw_feed_t *f, lw_feed_why_t why)
{
	__atomic_store_n(&f->why, why, __ATOMIC_RELAXED);
	set_wanted(f, true);
}

/* lw_feed_rest() - from the loop: others read it. */
void lw_feed_rest(lw_feed_t *f)
{
	set_wanted(f, false);
}

/*
 * lw_feed_set_patient() - from the loop: whether this node leaves it to others to be
 * the first to read again. In an outage every node of a fleet asks the store, and
 * its calls are priced, those that fail, too.
 */
void lw_feed_set_patient(lw_feed_t *f, bool patient)
{
	__atomic_store_n(&f->patient, patient, __ATOMIC_RELAXED);
}

/* lw_feed_is_patient() - from the reader. */
bool lw_feed_is_patient(const lw_feed_t *f)
{
	return __atomic_load_n(&f->patient, __ATOMIC_RELAXED);
}

/*
 * lw_feed_wait_wanted() - from the reader: wait until the store is to be read.
 * True if it was not for a while, so that what the reader knows is old.
 */
bool lw_feed_wait_wanted(lw_feed_t *f)
{
	if (__atomic_load_n(&f->wanted, __ATOMIC_RELAXED))
		return false;
	pthread_mutex_lock(&f->lock);
	while (!f->wanted)
		pthread_cond_wait(&f->wake, &f->lock);
	pthread_mutex_unlock(&f->lock);
	return true;
}

/* lw_feed_hurry() - from the loop: what was read last is old, read again at once. */
void lw_feed_hurry(lw_feed_t *f)
{
	pthread_mutex_lock(&f->lock);
	f->hurry = true;
	pthread_cond_signal(&f->wake);
	pthread_mutex_unlock(&f->lock);
}

/* lw_feed_pause() - from the reader: wait for @ms milliseconds, less if it is to hurry. */
void lw_feed_pause(lw_feed_t *f, uint32_t ms)
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
	pthread_mutex_lock(&f->lock);
	while (!f->hurry && !rc)
		rc = pthread_cond_timedwait(&f->wake, &f->lock, &until);
	f->hurry = false;
	pthread_mutex_unlock(&f->lock);
}

/* lw_feed_asked() - from the reader: a call begins that the store may hold for @wait_ms. */
void lw_feed_asked(lw_feed_t *f, uint32_t wait_ms)
{
	uint64_t due = lw_now_boot_us() + (uint64_t)wait_ms * 1000;

	f->stats.calls[__atomic_load_n(&f->why, __ATOMIC_RELAXED)]++;
	__atomic_store_n(&f->due_us, due, __ATOMIC_RELEASE);
}

/* lw_feed_failed() - from the reader: the call failed. */
void lw_feed_failed(lw_feed_t *f)
{
	__atomic_store_n(&f->failed_us, lw_now_boot_us(), __ATOMIC_RELEASE);
	__atomic_store_n(&f->due_us, 0, __ATOMIC_RELEASE);
}

/* lw_feed_read() - from the reader: the store has answered just now. */
void lw_feed_read(lw_feed_t *f)
{
	__atomic_store_n(&f->read_us, lw_now_boot_us(), __ATOMIC_RELEASE);
	__atomic_store_n(&f->due_us, 0, __ATOMIC_RELEASE);
	ev_async_send(f->conf.loop, f->conf.wake);
}

/* lw_feed_others_read() - from the loop: another node read the store at @at_us. */
void lw_feed_others_read(lw_feed_t *f, uint64_t at_us)
{
	uint64_t before = __atomic_load_n(&f->others_us, __ATOMIC_RELAXED);

	if (at_us <= before)
		return;
	if (at_us - before > OTHERS_LATELY_US)
		__atomic_store_n(&f->others_back_us, at_us, __ATOMIC_RELAXED);
	__atomic_store_n(&f->others_us, at_us, __ATOMIC_RELAXED);
}

/*
 * lw_feed_others_read_lately() - from the reader: others reach the store, so
 * that calls of this node that fail are its own trouble and no outage. Where
 * they have only just reached it again there was one: taken for this node's own
 * trouble, entries that lapsed in it would be dropped before their servers can
 * write them again.
 */
bool lw_feed_others_read_lately(const lw_feed_t *f)
{
	uint64_t now = lw_now_boot_us();

	return now - __atomic_load_n(&f->others_us, __ATOMIC_RELAXED) < OTHERS_LATELY_US &&
	       now - __atomic_load_n(&f->others_back_us, __ATOMIC_RELAXED) > OUTAGE_OVER_US;
}

/* lw_feed_last_read_us() - boot time of the last answer; 0 if there was none. */
uint64_t lw_feed_last_read_us(const lw_feed_t *f)
{
	return __atomic_load_n(&f->read_us, __ATOMIC_ACQUIRE);
}

/* lw_feed_last_known_us() - boot time at which the store last answered any node, as far as known. */
uint64_t lw_feed_last_known_us(const lw_feed_t *f)
{
	uint64_t own = lw_feed_last_read_us(f);
	uint64_t others = __atomic_load_n(&f->others_us, __ATOMIC_RELAXED);

	return own > others ? own : others;
}

/* lw_feed_last_failure_us() - boot time at which a call last failed; 0: none did. */
uint64_t lw_feed_last_failure_us(const lw_feed_t *f)
{
	return __atomic_load_n(&f->failed_us, __ATOMIC_ACQUIRE);
}

/* lw_feed_overdue() - whether the call under way has had no answer for @us after it was due. */
bool lw_feed_overdue(const lw_feed_t *f, uint64_t us)
{
	uint64_t due = __atomic_load_n(&f->due_us, __ATOMIC_ACQUIRE);

	return due && lw_now_boot_us() > due + us;
}
