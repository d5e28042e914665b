/* The report that lwload prints after a run. */
#include <stdlib.h>
#include <string.h>

#include "lwload_int.h"
#include "xalloc.h"

static int cmp_latency(const void *a, const void *b)
{
	uint32_t x = ((const sample_t *)a)->lat_us, y = ((const sample_t *)b)->lat_us;

	return x < y ? -1 : x > y;
}

static int cmp_second(const void *a, const void *b)
{
	const sample_t *x = a, *y = b;

	return x->second != y->second ? (int)x->second - (int)y->second : cmp_latency(a, b);
}

/* results within a time window */
typedef struct window_stats {
	double success; /* share of good answers */
	double p99_ms;
} window_stats_t;

/* results from second @from up to, but excluding, second @to; samples must be sorted by second */
static window_stats_t window_stats_of(size_t from, size_t to)
{
	size_t first = 0, n = 0, good = 0, p99;
	sample_t *part;
	window_stats_t s = { 1, 0 };

	while (first < load_run.nsamples && load_run.samples[first].second < from)
		first++;
	while (first + n < load_run.nsamples && load_run.samples[first + n].second < to)
		good += load_run.samples[first + n++].good;
	if (n == 0)
		return s;
	part = xcalloc(n, sizeof(*part));
	memcpy(part, &load_run.samples[first], n * sizeof(*part));
	qsort(part, n, sizeof(*part), cmp_latency);
	s.success = (double)good / (double)n;
	p99 = n * 99 / 100;
	s.p99_ms = part[p99].lat_us / 1000.0;
	free(part);
	return s;
}

/*
 * Recovery time in seconds: from the end of the surge until the first second
 * whose success ratio is within 10% and whose p99 is within 10% or 10 ms of
 * the values before the surge. Returns -1 if no second of the run meets this.
 */
static int recovery_s(void)
{
	size_t to = (size_t)load_run.surge_to;
	window_stats_t before = window_stats_of(0, (size_t)load_run.surge_from);

	for (size_t s = to; s < (size_t)load_run.seconds; s++) {
		window_stats_t now = window_stats_of(s, s + 1);

		if (now.success >= before.success * 0.9 &&
		    (now.p99_ms <= before.p99_ms * 1.1 || now.p99_ms <= before.p99_ms + 10))
			return (int)(s - to);
	}
	return -1;
}

/* lw_load_report() - print outcomes by route, goodput, latency and recovery time. */
void lw_load_report(void)
{
	uint64_t tot[3] = { 0 }, good = 0;

	for (int i = 0; i < load_run.nroutes; i++) {
		route_t *r = &load_run.routes[i];

		printf("%-28s %llu done, %llu not_run, %llu unknown\n", r->name,
		       (unsigned long long)r->n[0], (unsigned long long)r->n[1],
		       (unsigned long long)r->n[2]);
		for (int k = 0; k < 3; k++)
			tot[k] += r->n[k];
		good += r->good;
	}
	printf("%-28s %llu done, %llu not_run, %llu unknown\n", "total", (unsigned long long)tot[0],
	       (unsigned long long)tot[1], (unsigned long long)tot[2]);
	uint64_t all = tot[0] + tot[1] + tot[2];

	printf("goodput %llu of %llu (%.1f%%), %.1f/s\n", (unsigned long long)good,
	       (unsigned long long)all, 100.0 * (double)good / (double)(all ? all : 1),
	       (double)good / load_run.seconds);
	if (load_run.nsamples) {
		size_t n = load_run.nsamples, p50 = n / 2, p99 = n * 99 / 100;

		qsort(load_run.samples, n, sizeof(*load_run.samples), cmp_latency);
		printf("latency_ms p50 %.2f p99 %.2f max %.2f\n",
		       load_run.samples[p50].lat_us / 1000.0, load_run.samples[p99].lat_us / 1000.0,
		       load_run.samples[n - 1].lat_us / 1000.0);
		qsort(load_run.samples, n, sizeof(*load_run.samples), cmp_second);
	}
	printf("attempts %llu client_dropped %llu crossed %llu\n",
	       (unsigned long long)load_run.attempts, (unsigned long long)load_run.dropped,
	       (unsigned long long)load_run.crossed_answers);
	for (int i = 0; i < load_run.nroutes; i++)
		printf("goodput_route %s/%s %llu\n", load_run.routes[i].service,
		       load_run.routes[i].name, (unsigned long long)load_run.routes[i].good);
	if (load_run.surge_mult > 1)
		printf("recovery_s %d\n", recovery_s());
}
