/* Choosing a backend server; see place.h. */
#include "place.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "placecost.h"

/* costs are randomised by up to this share, so that nodes do not all choose the same host */
#define COST_SPREAD 0.2
/*
 * The best of a random half of a zone is chosen unless it is expected to take this many times as
 * long as the best of all. It is less than the factor by which machines usually slow down (2.5), so
 * that a half in which all machines are slow is not used.
 */
#define SAMPLE_TIME_MAX 2
/* a host whose requests fail at this rate does not keep requests in its zone */
#define ZONE_FAILING 0.5
/* a server that refused a connection gets no work for this time while others can take it, us */
#define DOWN_STALE_US 500000

static bool was_tried(const lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			return true;
	return false;
}

/* whether the host has had the request and may get it again */
static bool may_resend_to(const lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			return !tried->rejected[i];
	return false;
}

/*
 * lw_place_add_tried() - record that the request goes to @h for the first
 * time. @tried must have room.
 */
void lw_place_add_tried(lw_place_tried_t *tried, const lw_place_host_t *h)
{
	tried->rejected[tried->n] = false;
	tried->host[tried->n++] = h;
}

/*
 * lw_place_mark_rejected() - @h returned the request unexecuted and does not
 * get it again: if it were sent there again, the request could reach more
 * servers than its route allows.
 */
void lw_place_mark_rejected(lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			tried->rejected[i] = true;
}

/* how certain it is that a host accepts work; a host of a better tier is always preferred */
typedef enum {
	TIER_GOOD,
	TIER_LEAVING, /* the node is stopping, but its backend server may still be reachable */
	TIER_SUSPECT,
	TIER_COUNT
} tier_t;

/*
 * A server that accepts no connection rejects every request at once, so its
 * reported load would make it the best choice of a service whose other servers
 * are full.
 */
static bool is_down(const lw_place_host_t *h, uint64_t now_us)
{
	return h->load.down && now_us - h->load_us < DOWN_STALE_US;
}

static tier_t host_tier(const lw_place_host_t *h, uint64_t now_us)
{
	if (now_us < h->suspect_until_us || is_down(h, now_us))
		return TIER_SUSPECT;
	return h->load.leaving ? TIER_LEAVING : TIER_GOOD;
}

/*
 * A node that is about to exit reports that it accepts nothing. A request
 * that is sent nevertheless may arrive during the exit, and then nobody can
 * tell whether it was executed.
 */
static bool accepts_nothing(const lw_place_host_t *h, uint64_t now_us)
{
	return h->load_us && !h->load.limit && now_us - h->load_us < LW_PLACE_LOAD_STALE_US;
}

/* whether @h may get work at all, however busy it is */
static bool is_eligible(const lw_place_host_t *h, uint64_t now_us)
{
	return lw_place_usable(h, now_us) && !h->draining && !accepts_nothing(h, now_us) &&
	       now_us >= h->replaced_until_us;
}

/* which hosts a choice is made from */
typedef enum { SCOPE_OWN_ZONE, SCOPE_OTHER_ZONES, SCOPE_COUNT, SCOPE_ANY = SCOPE_COUNT } scope_t;

/* the best host of one scope and tier so far */
typedef struct {
	lw_place_host_t *host;
	double cost;
	double time_us;
} candidate_t;

typedef struct {
	candidate_t best[SCOPE_COUNT][TIER_COUNT];
	candidate_t sampled[SCOPE_COUNT]; /* the best good one out of a random half */
	lw_zonehosts_t zone[SCOPE_COUNT];
} choice_t;

static void count_host(lw_zonehosts_t *z, const lw_place_host_t *h, const lw_placerating_t *r,
		       tier_t tier)
{
	z->usable++;
	if (tier != TIER_GOOD || r->failures >= ZONE_FAILING)
		return;
	z->good++;
	z->slots += h->load.limit ? h->load.limit : 1;
	z->busy += r->busy;
	z->room |= r->use <= 1;
}

static void offer(candidate_t *best, lw_place_host_t *h, const lw_placerating_t *r, double cost)
{
	if (cost < best->cost)
		*best = (candidate_t){ h, cost, r->time_us };
}

/* whether the host is in the half of this choice; independent of the random part of its cost */
static bool is_sampled(uint32_t random)
{
	return (random ^ random >> 15) * 0x2c1b3c6du >> 31;
}

/* rates one more host; @random varies its cost */
static void consider(choice_t *c, lw_place_host_t *h, const lw_placerating_t *r, uint32_t random,
		     tier_t tier)
{
	double cost = r->cost * (1 + COST_SPREAD * (random >> 8) / 16777216.0);
	scope_t scope = h->self || h->same_zone ? SCOPE_OWN_ZONE : SCOPE_OTHER_ZONES;

	offer(&c->best[scope][tier], h, r, cost);
	if (tier == TIER_GOOD)
		offer(&c->sampled[scope], h, r, is_sampled(random) ? cost : INFINITY);
	count_host(&c->zone[scope], h, r, tier);
}

static void init_choice(choice_t *c)
{
	memset(c, 0, sizeof(*c));
	for (int scope = 0; scope < SCOPE_COUNT; scope++) {
		c->sampled[scope].cost = INFINITY;
		for (int tier = 0; tier < TIER_COUNT; tier++)
			c->best[scope][tier].cost = INFINITY;
	}
}

/* rates the hosts of @s: with @resend those that may get the request again, else the untried */
static void rate_hosts(choice_t *c, const lw_place_service_t *s, const lw_place_tried_t *tried,
		       bool resend, const lw_place_query_t *ask)
{
	uint32_t random = ask->random;
	double mean = lw_placecost_mean_us(s, ask->kind);

	init_choice(c);
	for (lw_place_host_t *h = s->hosts; h; h = h->next) {
		lw_placerating_t r;

		if (!is_eligible(h, ask->now_us) ||
		    !(resend ? may_resend_to(tried, h) : !was_tried(tried, h)))
			continue;
		random = random * 1664525u + 1013904223u;
		lw_placecost_rate(h, ask, mean, &r);
		consider(c, h, &r, random, host_tier(h, ask->now_us));
	}
}

/*
 * Whether the request leaves the zone. A choice that explores does not compare the durations of
 * the zones, as it disregards those of the hosts.
 */
static lw_zoneplan_t plan_zone(const choice_t *c, const lw_place_query_t *ask)
{
	lw_zoneplan_input_t in = { c->zone[SCOPE_OWN_ZONE], c->zone[SCOPE_OTHER_ZONES],
				   ask->target_left_ms, ask->random };

	if (lw_placecost_explores(ask))
		in.target_left_ms = 0;
	in.own.best_us = c->best[SCOPE_OWN_ZONE][TIER_GOOD].time_us;
	in.other.best_us = c->best[SCOPE_OTHER_ZONES][TIER_GOOD].time_us *
			   (1 + lw_placecost_body_factor(ask->body_length));
	return lw_zoneplan(&in);
}

static scope_t scope_of(lw_zoneplan_t plan)
{
	if (plan == LW_ZONE_ANY)
		return SCOPE_ANY;
	return lw_zoneplan_leaves(plan) ? SCOPE_OTHER_ZONES : SCOPE_OWN_ZONE;
}

/* the best host of one tier */
static lw_place_host_t *best_of_tier(const choice_t *c, scope_t scope, int tier)
{
	const candidate_t *own = &c->best[SCOPE_OWN_ZONE][tier];
	const candidate_t *other = &c->best[SCOPE_OTHER_ZONES][tier];

	if (scope != SCOPE_ANY)
		return c->best[scope][tier].host;
	return !own->host || (other->host && other->cost < own->cost) ? other->host : own->host;
}

/* the best host of the best tier */
static lw_place_host_t *best_of(const choice_t *c, scope_t scope)
{
	lw_place_host_t *h = NULL;

	for (int i = 0; i < TIER_COUNT && !h; i++)
		h = best_of_tier(c, scope, i);
	return h;
}

/*
 * The host in the scope of @plan. The nodes of a zone see the loads of its few hosts with the same
 * delay; if each chose the best of all, they would send their requests to the same host until the
 * next reports. So each choice is among a random half, unless all hosts of that half are slow.
 */
static lw_place_host_t *by_plan(const choice_t *c, lw_zoneplan_t plan, const lw_place_query_t *ask)
{
	scope_t scope = scope_of(plan);
	const candidate_t *sampled;

	if (scope == SCOPE_ANY || !c->zone[SCOPE_OTHER_ZONES].usable || lw_placecost_explores(ask))
		return best_of(c, scope);
	sampled = &c->sampled[scope];
	if (!sampled->host ||
	    sampled->time_us > c->best[scope][TIER_GOOD].time_us * SAMPLE_TIME_MAX)
		return best_of(c, scope);
	return sampled->host;
}

/*
 * lw_place_pick() - the host of @s that is expected to answer soonest, except
 * those in @tried; NULL if there is none. A host in a worse tier is chosen
 * only if there is none in a better one. The first choice for a request
 * follows the zone plan; a request that has been tried needs all hosts.
 */
lw_place_host_t *lw_place_pick(lw_place_service_t *s, const lw_place_tried_t *tried,
			       const lw_place_query_t *ask)
{
	lw_zoneplan_t plan = LW_ZONE_ANY;
	choice_t c;

	rate_hosts(&c, s, tried, false, ask);
	if (!tried->n) {
		plan = plan_zone(&c, ask);
		lw_zonestate_count(&s->zone, plan, ask->now_us);
	}
	return by_plan(&c, plan, ask);
}

/* lw_place_pick_resend() - the same among the hosts in @tried that may get the request again. */
lw_place_host_t *lw_place_pick_resend(lw_place_service_t *s, const lw_place_tried_t *tried,
				      const lw_place_query_t *ask)
{
	choice_t c;

	rate_hosts(&c, s, tried, true, ask);
	return best_of(&c, SCOPE_ANY);
}

/*
 * lw_place_process() - hash that identifies a process of a server; it changes
 * with a restart even if the id does not.
 */
uint64_t lw_place_process(const char *id, uint64_t born_ms)
{
	return XXH64(id, strlen(id), born_ms);
}

static bool is_among(const lw_place_host_t *h, const uint64_t *processes, size_t n)
{
	uint64_t process = lw_place_process(h->id, h->born_ms);

	for (size_t i = 0; i < n; i++)
		if (processes[i] == process)
			return true;
	return false;
}

/*
 * lw_place_pick_trial() - the host of @s on which a request that may crash
 * its server is tried, the same on every node that has the same server list.
 * @key identifies the request; the @n processes @crashed are excluded. NULL
 * if no host is eligible, or if only one of several hosts is left.
 */
lw_place_host_t *lw_place_pick_trial(const lw_place_service_t *s, uint64_t key,
				     const uint64_t *crashed, size_t n, uint64_t now_us)
{
	lw_place_host_t *best = NULL;
	uint64_t best_weight = 0;
	uint32_t hosts = 0, good = 0;

	for (lw_place_host_t *h = s->hosts; h; h = h->next) {
		uint64_t weight = XXH64(h->id, strlen(h->id), key);

		hosts += h->listed;
		if (!is_eligible(h, now_us) || host_tier(h, now_us) != TIER_GOOD ||
		    is_among(h, crashed, n))
			continue;
		good++;
		if (best && weight <= best_weight)
			continue;
		best = h;
		best_weight = weight;
	}
	return good > 1 || hosts < 2 ? best : NULL;
}

/* whether @h has room for a request now; with @load_known only if its load is known */
static bool has_room(const lw_place_host_t *h, uint64_t now_us, bool load_known)
{
	bool known = lw_placecost_known(h, now_us);

	return (known || !load_known) && is_eligible(h, now_us) &&
	       host_tier(h, now_us) == TIER_GOOD && lw_placecost_use(h, known) <= 1;
}

/*
 * lw_place_pick_room() - the best host of @s outside @tried that has room for
 * a request now, NULL if there is none. With @load_known a host whose load is
 * unknown does not count. Only for a host with room is it worth giving up a
 * call that may still be answered: if it were given up in favour of a node
 * that has exited, it would fail although its server still executes it.
 */
lw_place_host_t *lw_place_pick_room(const lw_place_service_t *s, const lw_place_tried_t *tried,
				    const lw_place_query_t *ask, bool load_known)
{
	double mean = lw_placecost_mean_us(s, ask->kind);
	lw_place_host_t *best = NULL;
	double best_cost = 0;

	for (lw_place_host_t *h = s->hosts; h; h = h->next) {
		lw_placerating_t r;

		if (was_tried(tried, h) || !has_room(h, ask->now_us, load_known))
			continue;
		lw_placecost_rate(h, ask, mean, &r);
		if (!best || r.cost < best_cost) {
			best = h;
			best_cost = r.cost;
		}
	}
	return best;
}

/* lw_place_accepts_work() - whether @h is present and accepts new work; false for NULL. */
bool lw_place_accepts_work(const lw_place_host_t *h, uint64_t now_us)
{
	return h && lw_place_usable(h, now_us) && !h->draining && !h->load.leaving;
}

/* whether @h accepts work once @self has gone; of several that leave, the first id goes first */
static bool stands_in(const lw_place_host_t *h, const lw_place_host_t *self, uint64_t now_us)
{
	if (!h->load_us || !is_eligible(h, now_us) || host_tier(h, now_us) == TIER_SUSPECT)
		return false;
	return !h->load.leaving || strcmp(self->id, h->id) < 0;
}

/*
 * lw_place_is_last() - whether @self is the last host of its service that accepts work, and others
 * may accept some again soon. If it is the only one there is, waiting for another is of no use.
 */
bool lw_place_is_last(const lw_place_host_t *self, uint64_t now_us)
{
	bool others = false;

	for (const lw_place_host_t *h = self->service->hosts; h; h = h->next) {
		if (h == self || h->draining || !lw_place_usable(h, now_us))
			continue;
		if (stands_in(h, self, now_us))
			return false;
		others = true;
	}
	return others;
}
