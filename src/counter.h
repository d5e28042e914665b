/*
 * Counters in the Prometheus text format (version 0.0.4), served at /metrics. A
 * counter has a name, a label set and an atomic value.
 */
#ifndef LW_COUNTER_H
#define LW_COUNTER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef struct lw_counter {
	const char *name;
	const char *help;
	char labels[96]; /* e.g. service="whois-svc",class="critical" */
	uint64_t value; /* read and written with __atomic builtins */
	struct lw_counter *next;
} lw_counter_t;

lw_counter_t *lw_counter_new(const char *name, const char *help, const char *labels);
void lw_counter_add(lw_counter_t *c, uint64_t n);
uint64_t lw_counter_get(const lw_counter_t *c);
void lw_counter_print(FILE *f);

#endif
