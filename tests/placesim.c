/* Servers and nodes in virtual time; see placesim.h. */
#include "placesim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

#define STEP_US		1000
#define STATUS_STEPS	250 /* each host reports its load to all nodes once in so many steps */
#define NEWS_MAX	200000
#define SERVICE_EWMA	0.05
#define ARRIVAL_DRAWS	100 /* in one step, so that arrivals are nearly a Poisson process */
#define MESH_PORT	7000
#define FULL_PART	0.95 /* above this part of its slots a server slows down */
#define WORK_SPREAD_MIN 0.5 /* work of a request: from half the mean to one and a half */

static double draw(uint64_t *rng)
{
	*rng = *rng * 6364136223846793005ull + 1442695040888963407ull;
	return (double)(*rng >> 33) / 2147483648.0;
}

static void list_hosts(placesim_t *s, lw_serverlist_t *sl)
{
	sl->servers = xcalloc(s->nhosts, sizeof(*sl->servers));
	sl->nservers = s->nhosts;
	for (uint32_t i = 0; i < s->nhosts; i++) {
		lw_server_entry_t *e = &sl->servers[i];

		e->id = lw_name_format("h-%u", i);
		snprintf(e->addr, LW_NAME_MAX, "10.%u.0.%u:80", s->host[i].zone, i + 1);
		e->zone = lw_name_format("zone-%u", s->host[i].zone);
		e->service = lw_name_c("s");
		e->slots = s->slots;
		e->created = i + 1;
		lw_place_node_addr(s->host[i].node, LW_NAME_MAX, e->addr, MESH_PORT);
		snprintf(s->host[i].id, LW_NAME_MAX, "%s", e->id);
	}
}

/* placesim_new() - hosts and nodes, dealt to the zones in turn; the caller sets the rest. */
placesim_t *placesim_new(uint32_t zones, uint32_t hosts, uint32_t nodes, uint32_t slots)
{
	placesim_t *s = xcalloc(1, sizeof(*s));

	s->zones = zones;
	s->nhosts = hosts;
	s->nnodes = nodes;
	s->slots = slots;
	s->slow_factor = 1;
	s->full_slowdown = 1;
	s->news = xcalloc(NEWS_MAX, sizeof(*s->news));
	s->latency_us = xcalloc(PLACESIM_SAMPLES_MAX, sizeof(*s->latency_us));
	for (uint32_t i = 0; i < hosts; i++) {
		s->host[i].zone = i % zones;
		s->host[i].speed = 1;
	}
	return s;
}

/* placesim_start() - all settings are made. */
void placesim_start(placesim_t *s, uint64_t seed)
{
	lw_serverlist_t sl = { 0 };
	char zone[LW_NAME_MAX];

	s->rng = seed;
	s->machine_rng = seed + 1000;
	s->choice_rng = seed + 2000;
	s->now_us = 1000000;
	list_hosts(s, &sl);
	for (uint32_t i = 0; i < s->nnodes; i++) {
		snprintf(zone, sizeof(zone), "zone-%u", i % s->zones);
		lw_place_init(&s->node[i], zone, "10.99.0.1:80", MESH_PORT,
			      (lw_retryallowance_t){ 0.2, 1000, 10 });
		lw_place_update(&s->node[i], &sl, s->now_us, 0);
	}
	for (uint32_t i = 0; i < s->nhosts; i++)
		s->host[i].service_us = s->work_us / s->host[i].speed;
	free(sl.servers);
}

/* placesim_free() - release everything. */
void placesim_free(placesim_t *s)
{
	for (uint32_t i = 0; i < s->nnodes; i++)
		lw_place_free(&s->node[i]);
	free(s->news);
	free(s->latency_us);
	free(s);
}

static bool is_slow(const placesim_t *s, const placesim_host_t *h)
{
	return s->now_us >= h->slow_from_us && s->now_us < h->slow_until_us;
}

/* placesim_capacity_per_s() - requests per second that the hosts of @zone execute on average. */
double placesim_capacity_per_s(const placesim_t *s, uint32_t zone)
{
	double usual = 1 - s->slow_share + s->slow_share / s->slow_factor;
	double sum = 0;

	for (uint32_t i = 0; i < s->nhosts; i++)
		if (s->host[i].zone == zone)
			sum += s->slots * s->host[i].speed * usual * 1e6 / s->work_us;
	return sum;
}

/* placesim_free_slots() - slots of @zone that execute nothing now. */
uint32_t placesim_free_slots(const placesim_t *s, uint32_t zone)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->nhosts; i++)
		if (s->host[i].zone == zone && s->host[i].n < s->slots)
			n += s->slots - (uint32_t)s->host[i].n;
	return n;
}

static void send_news(placesim_t *s, uint32_t host, uint32_t node, bool done)
{
	const placesim_host_t *h = &s->host[host];
	uint32_t running = h->n < s->slots ? (uint32_t)h->n : s->slots;
	uint32_t percent = is_slow(s, h) ? (uint32_t)(s->slow_factor * 100) : 100;
	placesim_news_t *n = &s->news[(s->news_at + s->nnews++) % NEWS_MAX];

	*n = (placesim_news_t){ .at_us = s->now_us + s->news_delay_us,
				.node = node,
				.host = host,
				.done = done,
				.load = { .running = running,
					  .queued = (uint32_t)h->n - running,
					  .limit = s->slots,
					  .level = 8000,
					  .service_us = (uint32_t)h->service_us } };
	if (s->policy == PLACESIM_RULE)
		n->load.machine_percent = percent;
}

static lw_place_host_t *place_host(lw_place_t *p, const char *id)
{
	lw_place_host_t *h = lw_place_service(p, "s")->hosts;

	while (strcmp(h->id, id) != 0)
		h = h->next;
	return h;
}

static void hear_news(placesim_t *s)
{
	while (s->nnews && s->news[s->news_at].at_us <= s->now_us) {
		const placesim_news_t *n = &s->news[s->news_at];
		lw_place_host_t *h = place_host(&s->node[n->node], s->host[n->host].id);

		lw_place_load_reported(h, &n->load, s->now_us);
		if (n->done)
			lw_place_request_done(h, true, s->now_us);
		s->news_at = (s->news_at + 1) % NEWS_MAX;
		s->nnews--;
	}
}

static void finish(placesim_t *s, uint32_t host, size_t at)
{
	placesim_host_t *h = &s->host[host];
	placesim_job_t j = h->job[at];

	memmove(&h->job[at], &h->job[at + 1], (h->n - at - 1) * sizeof(j));
	h->n--;
	h->service_us += SERVICE_EWMA * ((double)(s->now_us - j.started_us) - h->service_us);
	if (s->nlatency < PLACESIM_SAMPLES_MAX)
		s->latency_us[s->nlatency++] = (uint32_t)(s->now_us - j.arrived_us);
	send_news(s, host, j.node, true);
}

/* the time that the work takes at the host; a slow machine is slow until its period ends */
static double duration_us(const placesim_t *s, const placesim_host_t *h, double work_us,
			  double after_us)
{
	double at_us = (double)s->now_us + after_us;
	double slow_us = is_slow(s, h) ? fmax(0, (double)h->slow_until_us - at_us) : 0;
	double slowly_us = work_us / h->speed * s->slow_factor;

	if (slowly_us <= slow_us)
		return slowly_us;
	return slow_us + (work_us - slow_us * h->speed / s->slow_factor) / h->speed;
}

/* when the host would have completed the work, from now, with what it executes and queues */
static double completion_us(const placesim_t *s, const placesim_host_t *h, double work_us)
{
	double slot_us[PLACESIM_SLOTS_MAX] = { 0 };
	uint32_t first = 0;

	for (size_t i = 0; i <= h->n; i++) {
		double left_us = i < h->n ? h->job[i].left_us : work_us;

		first = 0;
		for (uint32_t k = 1; k < s->slots; k++)
			if (slot_us[k] < slot_us[first])
				first = k;
		slot_us[first] += duration_us(s, h, left_us, slot_us[first]);
	}
	return slot_us[first];
}

static uint32_t best_by_oracle(const placesim_t *s, double work_us)
{
	double best_us = INFINITY;
	uint32_t best = 0;

	for (uint32_t i = 0; i < s->nhosts; i++) {
		double us = completion_us(s, &s->host[i], work_us);

		if (us < best_us) {
			best = i;
			best_us = us;
		}
	}
	return best;
}

static uint32_t best_by_rule(placesim_t *s, uint32_t node)
{
	lw_place_query_t ask = { .now_us = s->now_us,
				 .random = (uint32_t)(draw(&s->choice_rng) * 4294967296.0),
				 .target_left_ms = s->target_left_ms };
	lw_place_tried_t tried = { .n = 0 };
	lw_place_host_t unlisted = { .listed = false };
	lw_place_host_t *h;

	/* the zone plan applies to the first choice only */
	if (s->policy == PLACESIM_BEFORE)
		lw_place_add_tried(&tried, &unlisted);
	h = lw_place_pick(lw_place_service(&s->node[node], "s"), &tried, &ask);
	lw_place_request_sent(h);
	return (uint32_t)atoi(h->id + 2);
}

static void arrive(placesim_t *s, uint32_t zone)
{
	uint32_t node = (uint32_t)(draw(&s->rng) * s->nnodes / s->zones) * s->zones + zone;
	double work_us = s->work_us * (WORK_SPREAD_MIN + draw(&s->rng));
	uint32_t at;
	placesim_host_t *h;

	at = s->policy == PLACESIM_ORACLE ? best_by_oracle(s, work_us) : best_by_rule(s, node);
	h = &s->host[at];
	if (h->n == PLACESIM_JOBS_MAX)
		abort();
	s->placed++;
	s->crossed += h->zone != zone;
	h->job[h->n++] = (placesim_job_t){ work_us, s->now_us, 0, node };
}

/* the host executes for one step; a job that ends does not free its slot before the next step */
static void execute(placesim_t *s, uint32_t host)
{
	placesim_host_t *h = &s->host[host];
	size_t running = h->n < s->slots ? h->n : s->slots;
	double rate = is_slow(s, h) ? h->speed / s->slow_factor : h->speed;

	if ((double)running > s->slots * FULL_PART)
		rate /= s->full_slowdown;
	for (size_t i = running; i-- > 0;) {
		if (!h->job[i].started_us)
			h->job[i].started_us = s->now_us;
		h->job[i].left_us -= rate * STEP_US;
		if (h->job[i].left_us <= 0)
			finish(s, host, i);
	}
}

/* slow periods begin at random, so often that they make up their share of the time */
static void maybe_slow_down(placesim_t *s, placesim_host_t *h)
{
	double between_us;

	if (s->slow_share <= 0 || s->now_us < h->slow_until_us)
		return;
	between_us = (double)s->slow_us * (1 / s->slow_share - 1);
	if (draw(&s->machine_rng) >= STEP_US / between_us)
		return;
	h->slow_from_us = s->now_us;
	h->slow_until_us = s->now_us + s->slow_us;
}

/* placesim_step() - 1 ms passes; @per_s: requests per second of each zone. */
void placesim_step(placesim_t *s, const double *per_s)
{
	uint64_t steps = s->now_us / STEP_US;

	hear_news(s);
	for (uint32_t i = 0; i < s->nhosts; i++) {
		maybe_slow_down(s, &s->host[i]);
		for (uint32_t k = 0; (steps + i) % STATUS_STEPS == 0 && k < s->nnodes; k++)
			send_news(s, i, k, false);
	}
	for (uint32_t z = 0; z < s->zones; z++)
		for (int k = 0; k < ARRIVAL_DRAWS; k++)
			if (draw(&s->rng) < per_s[z] * STEP_US / 1e6 / ARRIVAL_DRAWS)
				arrive(s, z);
	for (uint32_t i = 0; i < s->nhosts; i++)
		execute(s, i);
	s->now_us += STEP_US;
}

static int by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* placesim_percentile_us() - latency that the part @part of the requests does not exceed. */
uint32_t placesim_percentile_us(placesim_t *s, double part)
{
	qsort(s->latency_us, s->nlatency, sizeof(*s->latency_us), by_value);
	return s->latency_us[(size_t)((double)(s->nlatency - 1) * part)];
}
