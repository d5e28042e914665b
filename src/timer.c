/* The timer service; see timer.h. */
#include "timer.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>

#include "linux/clock.h"
#include "xalloc.h"

#define TIMER_SUBS_MAX 16

typedef struct sub {
	uint32_t period_ms;
	uint64_t next_ms;
	lw_timer_fn fn;
	void *ctx;
} sub_t;

struct lw_timer {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool stop;
	sub_t subs[TIMER_SUBS_MAX];
	int nsubs;
};

static void *timer_main(void *arg)
{
	lw_timer_t *t = arg;

	pthread_mutex_lock(&t->lock);
	while (!t->stop) {
		uint64_t now = lw_now_ms();
		uint64_t next = now + 1000;

		for (int i = 0; i < t->nsubs; i++) {
			sub_t *s = &t->subs[i];

			if (s->next_ms <= now) {
				/*
				 * called without the lock, so that the callback
				 * may call lw_timer_subscribe() and lw_timer_arm()
				 */
				s->next_ms = now + s->period_ms;
				pthread_mutex_unlock(&t->lock);
				s->fn(s->ctx, now);
				pthread_mutex_lock(&t->lock);
			}
			if (s->next_ms < next)
				next = s->next_ms;
		}
		lw_cond_wait_until(&t->cond, &t->lock, next);
	}
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

/* lw_timer_start() - starts the timer thread. */
lw_timer_t *lw_timer_start(void)
{
	lw_timer_t *t = xcalloc(1, sizeof(*t));

	pthread_mutex_init(&t->lock, NULL);
	lw_cond_init_monotonic(&t->cond);
	pthread_create(&t->thread, NULL, timer_main, t);
	return t;
}

/*
 * lw_timer_subscribe() - calls @fn(@ctx, now) every @period_ms milliseconds from
 * now on. Returns the subscription, for lw_timer_arm(). Aborts if there are more
 * than 16 subscribers, which is a bug.
 */
int lw_timer_subscribe(lw_timer_t *t, uint32_t period_ms, lw_timer_fn fn, void *ctx)
{
	int sub;

	pthread_mutex_lock(&t->lock);
	if (t->nsubs == TIMER_SUBS_MAX)
		abort();
	sub = t->nsubs++;
	t->subs[sub] = (sub_t){ period_ms, lw_now_ms() + period_ms, fn, ctx };
	pthread_cond_signal(&t->cond);
	pthread_mutex_unlock(&t->lock);
	return sub;
}

/*
 * lw_timer_arm() - also calls subscription @sub at @at_ms, if that is sooner than
 * its next call.
 */
void lw_timer_arm(lw_timer_t *t, int sub, uint64_t at_ms)
{
	pthread_mutex_lock(&t->lock);
	if (at_ms < t->subs[sub].next_ms) {
		t->subs[sub].next_ms = at_ms;
		pthread_cond_signal(&t->cond);
	}
	pthread_mutex_unlock(&t->lock);
}

/* lw_timer_stop() - stops the thread and frees @t; no callback runs afterwards. */
void lw_timer_stop(lw_timer_t *t)
{
	pthread_mutex_lock(&t->lock);
	t->stop = true;
	pthread_cond_signal(&t->cond);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
	free(t);
}
