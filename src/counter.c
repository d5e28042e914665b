/* Counters and their Prometheus rendering; see counter.h. */
#include "counter.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "xalloc.h"

static lw_counter_t *counters;
static pthread_mutex_t counters_lock = PTHREAD_MUTEX_INITIALIZER;

/*
 * lw_counter_new() - registers a counter @name{@labels}. Counters exist until the
 * process ends and are created at startup, not per request.
 */
lw_counter_t *lw_counter_new(const char *name, const char *help, const char *labels)
{
	lw_counter_t *c = xcalloc(1, sizeof(*c));

	c->name = name;
	c->help = help;
	snprintf(c->labels, sizeof(c->labels), "%s", labels ? labels : "");
	pthread_mutex_lock(&counters_lock);
	c->next = counters;
	counters = c;
	pthread_mutex_unlock(&counters_lock);
	return c;
}

/* lw_counter_add() - adds @n; may be called from any thread. */
void lw_counter_add(lw_counter_t *c, uint64_t n)
{
	__atomic_add_fetch(&c->value, n, __ATOMIC_RELAXED);
}

/* lw_counter_get() - the current value. */
uint64_t lw_counter_get(const lw_counter_t *c)
{
	return __atomic_load_n(&c->value, __ATOMIC_RELAXED);
}

/* lw_counter_print() - writes all counters to @f in Prometheus text format. */
void lw_counter_print(FILE *f)
{
	const char *last = "";

	pthread_mutex_lock(&counters_lock);
	for (const lw_counter_t *c = counters; c; c = c->next) {
		if (strcmp(last, c->name) != 0)
			fprintf(f, "# HELP %s %s\n# TYPE %s counter\n", c->name, c->help, c->name);
		last = c->name;
		if (c->labels[0])
			fprintf(f, "%s{%s} ", c->name, c->labels);
		else
			fprintf(f, "%s ", c->name);
		fprintf(f, "%llu\n", (unsigned long long)lw_counter_get(c));
	}
	pthread_mutex_unlock(&counters_lock);
}
