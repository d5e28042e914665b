/* Latency histograms; see histogram.h. */
#include "histogram.h"

/* upper bounds of the buckets in milliseconds, about three per power of ten */
static const uint32_t bounds_ms[LW_HISTOGRAM_BUCKETS] = {
	1, 2, 5, 10, 20, 50, 100, 200, 400, 700, 1000, 2000, 5000, 10000,
};

/* lw_histogram_add() - adds one duration of @us microseconds. */
void lw_histogram_add(lw_histogram_t *h, uint64_t us)
{
	int i = 0;

	while (i < LW_HISTOGRAM_BUCKETS && us > (uint64_t)bounds_ms[i] * 1000)
		i++;
	h->count[i]++;
	h->sum_us += us;
}

/* lw_histogram_print() - writes @h as metric @name with @labels (without braces). */
void lw_histogram_print(FILE *f, const char *name, const char *labels, const lw_histogram_t *h)
{
	uint64_t total = 0;

	for (int i = 0; i < LW_HISTOGRAM_BUCKETS; i++) {
		total += h->count[i];
		fprintf(f, "%s_bucket{%s,le=\"%.3f\"} %llu\n", name, labels, bounds_ms[i] / 1000.0,
			(unsigned long long)total);
	}
	total += h->count[LW_HISTOGRAM_BUCKETS];
	fprintf(f, "%s_bucket{%s,le=\"+Inf\"} %llu\n", name, labels, (unsigned long long)total);
	fprintf(f, "%s_sum{%s} %.6f\n", name, labels, (double)h->sum_us / 1e6);
	fprintf(f, "%s_count{%s} %llu\n", name, labels, (unsigned long long)total);
}
