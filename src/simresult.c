/* Statistics of a simulation run; see simfleet.h. */
#include <stdlib.h>
#include <string.h>

#include "simfleet.h"
#include "xalloc.h"

static int cmp_latency(const void *a, const void *b)
{
	return *(const uint16_t *)a - *(const uint16_t *)b;
}

/* lw_sim_percentile() - latency in ms that the share @part of the answers does not exceed. */
uint32_t lw_sim_percentile(const lw_sim_kind_t *k, double part)
{
	uint16_t *sorted;
	uint32_t v;

	if (!k->nlatency)
		return 0;
	sorted = xmalloc(k->nlatency * sizeof(*sorted));
	memcpy(sorted, k->latency_ms, k->nlatency * sizeof(*sorted));
	qsort(sorted, k->nlatency, sizeof(*sorted), cmp_latency);
	v = sorted[(size_t)((double)(k->nlatency - 1) * part)];
	free(sorted);
	return v;
}

/* lw_sim_goodput() - share of the user requests answered within their objective. */
double lw_sim_goodput(const lw_sim_t *s)
{
	uint32_t asked = 0, good = 0;

	for (size_t i = 0; i < s->nkinds; i++) {
		asked += s->kinds[i].count.asked;
		good += s->kinds[i].count.in_target;
	}
	return asked ? (double)good / asked : 0;
}

/* lw_sim_wasted() - share of server time spent on requests that then failed. */
double lw_sim_wasted(const lw_sim_t *s)
{
	return s->total.spent_ms > 0 ? 1 - s->total.useful_ms / s->total.spent_ms : 0;
}

/* lw_sim_bottleneck() - utilisation of the busiest service's slots during the burst. */
double lw_sim_bottleneck(const lw_sim_t *s)
{
	double peak = 0;

	for (size_t i = 0; i < s->nservices; i++) {
		const lw_sim_service_t *sv = &s->services[i];
		double speed = 0;

		for (uint32_t k = 0; k < sv->servers; k++)
			speed += sv->speed[k];
		speed *= sv->slots * s->burst_for_s * 1000;
		if (speed > 0 && s->busy_ms[i] / speed > peak)
			peak = s->busy_ms[i] / speed;
	}
	return peak;
}

/*
 * lw_sim_recovery_s() - seconds from the end of the burst until 95% of the user
 * requests of a second meet their objective again, or until the end of the run.
 */
double lw_sim_recovery_s(const lw_sim_t *s)
{
	uint32_t end = (uint32_t)(s->burst_at_s + s->burst_for_s);

	for (uint32_t t = end; t < LW_SIM_SECONDS_MAX && t < (uint32_t)s->length_s; t++)
		if (s->asked_at[t] && s->good_at[t] >= 0.95 * s->asked_at[t])
			return t - end;
	return s->length_s - end;
}
