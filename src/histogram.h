/* Latency histograms with fixed bounds, in the Prometheus text format. */
#ifndef LW_HISTOGRAM_H
#define LW_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

#define LW_HISTOGRAM_BUCKETS 14

typedef struct lw_histogram {
	uint64_t count[LW_HISTOGRAM_BUCKETS + 1]; /* the last bucket has no upper bound */
	uint64_t sum_us;
} lw_histogram_t;

void lw_histogram_add(lw_histogram_t *h, uint64_t us);
void lw_histogram_print(FILE *f, const char *name, const char *labels, const lw_histogram_t *h);

#endif
