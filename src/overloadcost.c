/* What the requests of a route cost at the services it leads to; see hotpath.h. */
#include "overload_int.h"

/* one answer lowers the told use of the allowance by this part (1/n) of the difference */
#define USED_DECAY 10
/* weight of one more request in the work its route makes at a service */
#define WORK_EWMA 0.05
/*
 * Ranks are lowered to this part at most: of the kind that costs the most at
 * least a third as many are let in as of any other of its priority.
 */
#define WEIGHT_MIN 0.34

static uint32_t known_priority(uint32_t priority)
{
	return priority < LW_PRIORITIES_MAX ? priority : LW_PRIORITIES_MAX - 1;
}

/* the average work of @r at @s is @work_us now: is that the most of its priority? */
static void update_heaviest(lw_overload_service_t *s, uint32_t priority,
			    const lw_overload_route_t *r, double work_us, uint64_t now_us)
{
	uint32_t p = known_priority(priority);
	bool forgotten = now_us - s->most[p].seen_us >= ROUTE_EXPIRES_US;

	if (s->most[p].route != r && !forgotten && work_us <= s->most[p].work_us)
		return;
	s->most[p].route = r;
	s->most[p].work_us = work_us;
	s->most[p].seen_us = now_us;
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
 * lw_hotpath_worked() - a user request on @route was served; @hots tells how
 * long it and its calls ran at services that refuse some.
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
 * lw_hotpath_weighed() - @rank, drawn from a request's id, lowered within its
 * priority for a route whose requests make less work than others at the
 * services that are full: for what one lookup with eight calls to a leaf
 * costs, two and a half confirmations that run there once can be served.
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
		double most = s ? s->most[known_priority(priority)].work_us : 0;

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

/* lw_hotpath_depth() - levels of calls below a request on @route, as far as seen. */
uint32_t lw_overload_call_depth(const lw_overload_t *p, const char *route)
{
	const lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	return r ? r->depth : 0;
}

/*
 * lw_hotpath_used() - an answer on @route told how much of the allowance the
 * calls below use. The most of any path counts; it fades with answers that
 * tell less.
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

/* lw_hotpath_retry_used() - per mille of the allowance that calls below @route use. */
uint32_t lw_overload_retry_used(const lw_overload_t *p, const char *route)
{
	const lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	return r ? r->retry_used : 0;
}
