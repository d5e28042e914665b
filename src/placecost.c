/* The cost of a host; see placecost.h. */
#include "placecost.h"

#include <math.h>

/*
 * Cost factors. A host in another availability zone is chosen only if it is
 * better by this factor: traffic between zones is paid for, and the
 * additional round trip is small compared with the execution time of a
 * request. A large body increases the factor. Where the zone plan is in
 * effect, it decides instead.
 */
#define COST_OTHER_ZONE	   1.3
#define COST_ZONE_PER_BYTE (1.0 / 16384)
#define COST_ZONE_BODY_MAX 4.0
/*
 * How much a host slows down as its utilisation grows: a request costs 1 + 3
 * u^3 times its service time there, u being the part of the slots in use. At
 * u = 0.7 the factor is 2, so an idle server of half the speed gets work from
 * there on.
 */
#define COST_FULL 3.0
/* a request to the backend server on this host needs no hop */
#define COST_SELF 0.9
/* a host whose requests all fail costs as much as one whose load is higher by this factor */
#define COST_FAILING 20.0
/*
 * One choice in this many considers the utilisation but not the reported
 * execution times of the servers, so that a server that was slow is tried
 * again, and one that has joined at low load gets work before it is needed.
 */
#define EXPLORE_ONE_IN 32
/*
 * Bounds of the factor for the speed of a machine, percent: one report does
 * not attract all requests of the service, nor keep all of them away.
 */
#define MACHINE_FACTOR_MIN 50
#define MACHINE_FACTOR_MAX 1000
/*
 * A host that failed gets no work while others are better, so that no outcome
 * would show its recovery. Without outcomes the average halves in this time.
 * In microseconds.
 */
#define FAILURE_HALF_LIFE_US 1000000
/* lower rate limits count as this one when hosts are compared, requests per second */
#define RATE_MIN_PER_S 0.01

/* seconds until the requests queued at a host and one more may start under its rate limit */
static double rate_use(const lw_place_host_t *h, bool known)
{
	uint32_t waiting = known ? h->load.queued + h->sent : h->inflight;

	return (waiting + 1.0) / fmax(h->load.notice.limit_per_s, RATE_MIN_PER_S);
}

/* requests at a host, by its last load report and the requests sent since */
static uint32_t host_busy(const lw_place_host_t *h, bool known)
{
	uint32_t busy = known ? h->load.running + h->load.queued + h->sent : h->inflight;

	return busy < h->inflight ? h->inflight : busy;
}

/* lw_placecost_known() - whether the last load report of the host is recent enough to be used. */
bool lw_placecost_known(const lw_place_host_t *h, uint64_t now_us)
{
	return h->load_us && now_us - h->load_us < LW_PLACE_LOAD_STALE_US;
}

static double use_with(const lw_place_host_t *h, bool known, uint32_t busy)
{
	double use = (busy + 1.0) / (h->load.limit ? h->load.limit : 1);

	return h->load.notice.limited ? fmax(use, rate_use(h, known)) : use;
}

/*
 * lw_placecost_use() - part of the slots of a host that are in use with one
 * more request; rate_use() if that is more.
 */
double lw_placecost_use(const lw_place_host_t *h, bool known)
{
	return use_with(h, known, host_busy(h, known));
}

/* lw_placecost_body_factor() - how much a body of this length makes another zone dearer. */
double lw_placecost_body_factor(int64_t body_length)
{
	double extra =
		body_length < 0 ? COST_ZONE_BODY_MAX : (double)body_length * COST_ZONE_PER_BYTE;

	return extra < COST_ZONE_BODY_MAX ? extra : COST_ZONE_BODY_MAX;
}

static double zone_cost(const lw_place_host_t *h, int64_t body_length)
{
	if (h->self)
		return COST_SELF;
	if (h->same_zone)
		return 1;
	return COST_OTHER_ZONE + lw_placecost_body_factor(body_length);
}

/* lw_placecost_failures() - failure rate of the host as seen by this node, 0 to 1. */
double lw_placecost_failures(const lw_place_host_t *h, uint64_t now_us)
{
	double halves = (double)(now_us - h->failures_us) / FAILURE_HALF_LIFE_US;

	return h->failures > 0 && halves > 0.1 ? h->failures * exp2(-halves) : h->failures;
}

/* expected duration of a request of this kind at the host when its machine is as usual */
static uint32_t duration_us(const lw_place_host_t *h, uint32_t kind)
{
	if (!kind || !h->load.work.n)
		return h->load.service_us;
	return lw_worktimes_us(&h->load.work, kind, h->load.service_us);
}

/*
 * lw_placecost_mean_us() - mean duration of a request of @kind over the hosts
 * of @s that reported one; 0: none did.
 */
double lw_placecost_mean_us(const lw_place_service_t *s, uint32_t kind)
{
	double sum = 0;
	uint32_t n = 0;

	for (const lw_place_host_t *h = s->hosts; h; h = h->next)
		if ((h->listed || h->use_until_us) && h->load.service_us) {
			sum += duration_us(h, kind);
			n++;
		}
	return n ? sum / n : 0;
}

/* factor for the speed of the host's machine now; 1: as usual, or unknown */
static double machine_factor(const lw_place_host_t *h, uint64_t now_us)
{
	uint32_t percent = h->load.machine_percent;

	if (!percent || !lw_machine_valid(percent) || now_us - h->load_us >= LW_MACHINE_STALE_US)
		return 1;
	if (percent < MACHINE_FACTOR_MIN)
		percent = MACHINE_FACTOR_MIN;
	if (percent > MACHINE_FACTOR_MAX)
		percent = MACHINE_FACTOR_MAX;
	return percent / 100.0;
}

/* lw_placecost_explores() - whether this choice disregards the speed of the servers. */
bool lw_placecost_explores(const lw_place_query_t *ask)
{
	return ask->random % EXPLORE_ONE_IN == 0;
}

/*
 * lw_placecost_rate() - rate the host for a request; @mean_us is that of the
 * service. The cost grows with the use of the host before its slots are full,
 * so that load is balanced; the expected duration grows only with its queue.
 */
void lw_placecost_rate(const lw_place_host_t *h, const lw_place_query_t *ask, double mean_us,
		       lw_placerating_t *out)
{
	bool known = lw_placecost_known(h, ask->now_us);
	uint32_t busy = host_busy(h, known);
	double use = use_with(h, known, busy);
	double cost = 1 + COST_FULL * use * use * use;
	double machine = machine_factor(h, ask->now_us);
	double failures = lw_placecost_failures(h, ask->now_us);
	double time_us = mean_us;
	double penalty;

	if (known && h->load.service_us && mean_us > 0)
		time_us = duration_us(h, ask->kind);
	if (lw_placecost_explores(ask))
		cost = use;
	else if (known && h->load.service_us && mean_us > 0)
		cost *= time_us / mean_us;
	cost *= machine;
	cost *= zone_cost(h, ask->body_length);
	if (known && h->load.failing > failures * 1000)
		failures = h->load.failing / 1000.0;
	penalty = 1 + COST_FAILING * failures * failures;
	out->busy = busy;
	out->use = use;
	out->failures = failures;
	out->cost = cost * penalty;
	out->time_us = time_us * machine * (use > 1 ? use : 1) * penalty;
}
