/* What the requests of a route cost at the services it leads to; see overload.h. */
#include "overload_int.h"

/*
 * An answer that reports a lower use of the retry allowance reduces the
 * stored use by this part (1/n) of the difference.
 */
#define USED_DECAY 10
/* weight of a new request in the moving average of the work that a route causes at a service */
#define WORK_EWMA 0.05
/*
 * Ranks are multiplied by this factor at least: of the requests that cost the
 * most, at least a third as many are admitted as of any others of the same
 * priority.
 */
#define WEIGHT_MIN 0.34

static uint32_t known_priority(uint32_t priority)
{
	return priority < LW_PRIORITIES_MAX ? priority : LW_PRIORITIES_MAX - 1;
}

/*
 * Record @r as the route with the most work at @s if its average @work_us is
 * the highest of @priority.
 */
static void update_heaviest(lw_overload_service_t *s, uint32_t priority,
			    const lw_overload_route_t *r, double work_us, uint64_t now_us)
{
	uint32_t p = known_priority(priority);
	bool forgotten = now_us - s->heaviest[p].seen_us >= ROUTE_EXPIRES_US;

	if (s->heaviest[p].route != r && !forgotten && work_us <= s->heaviest[p].work_us)
		return;
	s->heaviest[p].route = r;
	s->heaviest[p].work_us = work_us;
	s->heaviest[p].seen_us = now_us;
}

static void add_work(lw_overload_route_t *r, lw_overload_service_t *s, uint32_t priority,
		     uint32_t reported_us, uint64_t now_us)
{
	for (int i = 0; i < LW_PATH_LEVELS_MAX; i++) {
		double *work_us = &r->downstream[i].work_us;

		if (r->downstream[i].service != s)
			continue;
		*work_us += *work_us > 0 ? WORK_EWMA * (reported_us - *work_us) : reported_us;
		update_heaviest(s, priority, r, *work_us, now_us);
	}
}

/*
 * lw_overload_add_work() - a user request on @route was answered; @hots has
 * the execution time of the request and its calls at services that refuse
 * some requests.
 */
void lw_overload_add_work(lw_overload_t *p, const char *route, uint32_t priority,
			  const lw_path_levels_t *hots, uint64_t now_us)
{
	lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	for (uint32_t i = 0; r && i < hots->n; i++) {
		lw_overload_service_t *s = lw_overload_service_get(p, hots->hot[i].service);

		if (!hots->hot[i].work_us)
			continue;
		lw_overload_route_add_service(r, s, now_us);
		add_work(r, s, priority, hots->hot[i].work_us, now_us);
	}
}

/*
 * lw_overload_weighted_rank() - lower @rank, which is derived from the
 * request id, within its priority for a route whose requests cause less work
 * at the overloaded services than those of other routes. For the cost of one
 * lookup that makes eight calls to a leaf service, two and a half
 * confirmations that are executed there once can be served.
 */
uint32_t lw_overload_weighted_rank(const lw_overload_t *p, const char *route, uint32_t rank,
				   uint64_t now_us)
{
	uint32_t priority = rank / LW_RANKS_PER_PRIORITY;
	uint32_t within = rank % LW_RANKS_PER_PRIORITY;
	const lw_overload_route_t *r;
	double part = 0;

	HASH_FIND_STR(p->routes, route, r);
	for (int i = 0; r && i < LW_PATH_LEVELS_MAX; i++) {
		const lw_overload_service_t *s = r->downstream[i].service;
		double most = s ? s->heaviest[known_priority(priority)].work_us : 0;

		if (most <= 0 || !r->downstream[i].work_us ||
		    now_us - r->downstream[i].seen_us >= ROUTE_EXPIRES_US)
			continue;
		if (r->downstream[i].work_us / most > part)
			part = r->downstream[i].work_us / most;
	}
	if (part <= 0 || part > 1)
		return rank;
	if (part < WEIGHT_MIN)
		part = WEIGHT_MIN;
	return priority * LW_RANKS_PER_PRIORITY + (uint32_t)(within * part);
}

/* lw_overload_call_depth() - levels of calls below a request on @route, as far as observed. */
uint32_t lw_overload_call_depth(const lw_overload_t *p, const char *route)
{
	const lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	return r ? r->depth : 0;
}

/*
 * lw_overload_add_retry_used() - an answer on @route reported that the calls
 * below use @permille of the retry allowance. The highest value of any call
 * path counts; it decays with answers that report less.
 */
void lw_overload_add_retry_used(lw_overload_t *p, const char *route, uint32_t permille)
{
	lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	if (!r)
		return;
	if (permille >= r->retry_used)
		r->retry_used = permille;
	else
		r->retry_used -= (r->retry_used - permille + USED_DECAY - 1) / USED_DECAY;
}

/* lw_overload_retry_used() - per mille of the retry allowance that the calls below @route use. */
uint32_t lw_overload_retry_used(const lw_overload_t *p, const char *route)
{
	const lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	return r ? r->retry_used : 0;
}
