/* Choosing a backend server; see place.h. */
#include "place.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * Cost factors. A host in another availability zone must be this much better
 * to be chosen: bytes between zones are paid for, and the extra round trip is
 * small against the time a request runs. A large body makes it worse.
 */
#define COST_OTHER_ZONE	    1.3
#define COST_ZONE_PER_BYTE  (1.0 / 16384)
#define COST_ZONE_BODY_MOST 4.0
/*
 * How much a host slows down towards full use: it costs 1 + 3 u^3 times the
 * time a request runs there, u being the part of its slots in use. A fast
 * server is filled to about 70% before one of half its speed gets work.
 */
#define COST_FULL 3.0
/* the backend server on this host needs no hop at all */
#define COST_SELF 0.9
/* a host whose requests all fail costs as much as one this many times as loaded */
#define COST_FAILING 20.0
/*
 * One choice in so many goes by use alone: a server that was slow is tried again,
 * and one that has joined gets work from other hosts before it is needed. Without
 * it half of the servers that joined on a calm day got none.
 */
#define EXPLORE_ONE_IN 32
/* costs are spread by up to this share, so that nodes do not all choose alike */
#define COST_SPREAD 0.2
/* weight of one more outcome in the moving average of failures */
#define FAILURE_EWMA 0.1
/*
 * A host that failed gets no work while others are better, so nothing would
 * show that it is well again: without outcomes the average halves in this
 * time, us.
 */
#define FAILURE_HALVES_US 1000000
/* first and longest time a host that cannot be reached gets no work, ms */
#define SUSPECT_MIN_MS 300
#define SUSPECT_MAX_MS 1000
/*
 * The entry of a server that was replaced at its address stays until it
 * lapses, after three heartbeats: it gets nothing for so long, us.
 */
#define REPLACED_US 5000000
/* a limit below this counts as this one where hosts are compared, requests a second */
#define PACE_LEAST_PER_S 0.01
/* a server that took no connection gets no work for so long, while others can take it, us */
#define DOWN_US 500000

/* lw_place_init() - no hosts yet; @zone and @backend are this host's. */
void lw_place_init(lw_place_t *p, const char *zone, const char *backend, uint32_t mesh_port,
		   lw_retryterms_t terms)
{
	memset(p, 0, sizeof(*p));
	lw_str_copy(p->zone, sizeof(p->zone), lw_str_c(zone));
	lw_str_copy(p->backend, sizeof(p->backend), lw_str_c(backend));
	p->mesh_port = mesh_port;
	p->terms = terms;
}

static bool was_tried(const lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			return true;
	return false;
}

/* whether the host had the request and may get it again */
static bool may_again(const lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			return !tried->back[i];
	return false;
}

/* lw_place_try() - the request goes to @h, which has not had it; there must be room. */
void lw_place_try(lw_place_tried_t *tried, const lw_place_host_t *h)
{
	tried->back[tried->n] = false;
	tried->host[tried->n++] = h;
}

/*
 * lw_place_handed_back() - @h handed the request back. It gets it no more: sent
 * again there, the request could reach more servers than its route allows.
 */
void lw_place_handed_back(lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			tried->back[i] = true;
}

/* part of a second's work that waits at a host which takes only so many requests a second */
static double paced_use(const lw_place_host_t *h, bool known)
{
	uint32_t waiting = known ? h->load.queued + h->sent : h->inflight;

	return (waiting + 1.0) / fmax(h->load.notice.limit_per_s, PACE_LEAST_PER_S);
}

/* part of a host's slots in use: as its node told, and what was sent since */
static double host_use(const lw_place_host_t *h, bool known)
{
	uint32_t busy = known ? h->load.running + h->load.queued + h->sent : h->inflight;
	double use;

	if (busy < h->inflight)
		busy = h->inflight;
	use = (busy + 1.0) / (h->load.limit ? h->load.limit : 1);
	return h->load.notice.limited ? fmax(use, paced_use(h, known)) : use;
}

static double zone_cost(const lw_place_host_t *h, int64_t body_length)
{
	double extra =
		body_length < 0 ? COST_ZONE_BODY_MOST : (double)body_length * COST_ZONE_PER_BYTE;

	if (h->self)
		return COST_SELF;
	if (h->same_zone)
		return 1;
	return COST_OTHER_ZONE + (extra < COST_ZONE_BODY_MOST ? extra : COST_ZONE_BODY_MOST);
}

static double recent_failures(const lw_place_host_t *h, uint64_t now_us)
{
	double halves = (double)(now_us - h->failures_us) / FAILURE_HALVES_US;

	return h->failures > 0 && halves > 0.1 ? h->failures * exp2(-halves) : h->failures;
}

/* the time a request is expected to take there, against the service's mean */
static double host_cost(const lw_place_host_t *h, const lw_place_ask_t *ask, double mean_us)
{
	bool known = h->load_us && ask->now_us - h->load_us < LW_PLACE_LOAD_STALE_US;
	double use = host_use(h, known);
	double cost = 1 + COST_FULL * use * use * use;
	double failures;

	if (ask->random % EXPLORE_ONE_IN == 0)
		cost = use;
	else if (known && h->load.service_us && mean_us > 0)
		cost *= h->load.service_us / mean_us;
	cost *= zone_cost(h, ask->body_length);
	failures = recent_failures(h, ask->now_us);
	if (known && h->load.failing > failures * 1000)
		failures = h->load.failing / 1000.0;
	return cost * (1 + COST_FAILING * failures * failures);
}

/* how sure it is that a host takes work; a better tier always goes first */
typedef enum {
	TIER_GOOD,
	TIER_LEAVING, /* its node is stopping, the backend server may still be reached */
	TIER_SUSPECT,
	TIER_COUNT
} tier_t;

/*
 * A server that takes no connection hands everything back at once. By its load
 * it would be the best one of a busy service: 605 of the calls of one second
 * went to a dead server while the two others were full.
 */
static bool is_down(const lw_place_host_t *h, uint64_t now_us)
{
	return h->load.down && now_us - h->load_us < DOWN_US;
}

static tier_t host_tier(const lw_place_host_t *h, uint64_t now_us)
{
	if (now_us < h->suspect_until_us || is_down(h, now_us))
		return TIER_SUSPECT;
	return h->load.leaving ? TIER_LEAVING : TIER_GOOD;
}

/*
 * A node that is about to exit says that it takes nothing. A request sent all
 * the same may meet the exit, and nobody can tell then whether it ran.
 */
static bool refuses(const lw_place_host_t *h, uint64_t now_us)
{
	return h->load_us && !h->load.limit && now_us - h->load_us < LW_PLACE_LOAD_STALE_US;
}

/* whether @h may get work at all, however busy it is */
static bool gets_work(const lw_place_host_t *h, uint64_t now_us)
{
	return lw_place_usable(h, now_us) && !h->draining && !refuses(h, now_us) &&
	       now_us >= h->replaced_until_us;
}

static double mean_service(const lw_place_service_t *s)
{
	double sum = 0;
	uint32_t n = 0;

	for (const lw_place_host_t *h = s->hosts; h; h = h->next)
		if ((h->listed || h->use_until_us) && h->load.service_us) {
			sum += h->load.service_us;
			n++;
		}
	return n ? sum / n : 0;
}

/* the best host of @s among those that had the request, or of those not in @tried */
static lw_place_host_t *pick(lw_place_service_t *s, const lw_place_tried_t *tried, bool again,
			     const lw_place_ask_t *ask)
{
	uint32_t random = ask->random;
	double mean = mean_service(s);
	lw_place_host_t *best[TIER_COUNT] = { NULL };
	double best_cost[TIER_COUNT] = { 0 };

	for (lw_place_host_t *h = s->hosts; h; h = h->next) {
		tier_t tier = host_tier(h, ask->now_us);
		double cost;

		if (!gets_work(h, ask->now_us) ||
		    !(again ? may_again(tried, h) : !was_tried(tried, h)))
			continue;
		random = random * 1664525u + 1013904223u;
		cost = host_cost(h, ask, mean);
		cost *= 1 + COST_SPREAD * (random >> 8) / 16777216.0;
		if (!best[tier] || cost < best_cost[tier]) {
			best[tier] = h;
			best_cost[tier] = cost;
		}
	}
	for (int i = 0; i < TIER_COUNT; i++)
		if (best[i])
			return best[i];
	return NULL;
}

/*
 * lw_place_pick() - the host of @s that is expected to answer soonest, none
 * of @tried; NULL if there is none.
 * A host in a worse tier is chosen only if there is none in a better one.
 */
lw_place_host_t *lw_place_pick(lw_place_service_t *s, const lw_place_tried_t *tried,
			       const lw_place_ask_t *ask)
{
	return pick(s, tried, false, ask);
}

/* lw_place_pick_again() - the same among the hosts in @tried. */
lw_place_host_t *lw_place_pick_again(lw_place_service_t *s, const lw_place_tried_t *tried,
				     const lw_place_ask_t *ask)
{
	return pick(s, tried, true, ask);
}

/* lw_place_process() - tells one process of a server from the next, also if its id stays. */
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
 * lw_place_pick_trial() - the host of @s that a request which may end its server is
 * tried at, @key standing for the request: the same host on every node that has the
 * same list. The @n processes @ended are not there any more. NULL if there is none,
 * and where it is the last of several that is left.
 */
lw_place_host_t *lw_place_pick_trial(const lw_place_service_t *s, uint64_t key,
				     const uint64_t *ended, size_t n, uint64_t now_us)
{
	lw_place_host_t *best = NULL;
	uint64_t best_weight = 0;
	uint32_t hosts = 0, good = 0;

	for (lw_place_host_t *h = s->hosts; h; h = h->next) {
		uint64_t weight = XXH64(h->id, strlen(h->id), key);

		hosts += h->listed;
		if (!gets_work(h, now_us) || host_tier(h, now_us) != TIER_GOOD ||
		    is_among(h, ended, n))
			continue;
		good++;
		if (best && weight <= best_weight)
			continue;
		best = h;
		best_weight = weight;
	}
	return good > 1 || hosts < 2 ? best : NULL;
}

/* whether @h has room for a request now; @sure: not if nothing is known of it */
static bool has_room(const lw_place_host_t *h, uint64_t now_us, bool sure)
{
	bool known = h->load_us && now_us - h->load_us < LW_PLACE_LOAD_STALE_US;

	return (known || !sure) && gets_work(h, now_us) && host_tier(h, now_us) == TIER_GOOD &&
	       host_use(h, known) <= 1;
}

/*
 * lw_place_pick_room() - the best host of @s other than @tried that has room for
 * a request now, NULL if none has; @sure: one of which nothing is known does not
 * count. Giving up a call that may yet be answered is only worth it for such a
 * host: of 50 reads that took long while a node stopped 14 to 23 were given up for
 * a node that was gone, and failed with their server at work.
 */
lw_place_host_t *lw_place_pick_room(const lw_place_service_t *s, const lw_place_tried_t *tried,
				    const lw_place_ask_t *ask, bool sure)
{
	double mean = mean_service(s);
	lw_place_host_t *best = NULL;
	double best_cost = 0;

	for (lw_place_host_t *h = s->hosts; h; h = h->next) {
		double cost;

		if (was_tried(tried, h) || !has_room(h, ask->now_us, sure))
			continue;
		cost = host_cost(h, ask, mean);
		if (!best || cost < best_cost) {
			best = h;
			best_cost = cost;
		}
	}
	return best;
}

/* lw_place_takes() - whether @h is there and takes new work; NULL does not. */
bool lw_place_takes(const lw_place_host_t *h, uint64_t now_us)
{
	return h && lw_place_usable(h, now_us) && !h->draining && !h->load.leaving;
}

/* lw_place_sent() - a request goes to @h; lw_place_ended() must follow. */
void lw_place_sent(lw_place_host_t *h)
{
	h->refs++;
	h->inflight++;
	h->sent++;
}

/* lw_place_ended() - the request has its outcome; @ok: the server answered well. */
void lw_place_ended(lw_place_host_t *h, bool ok, uint64_t now_us)
{
	double failures = recent_failures(h, now_us);

	h->inflight--;
	h->failures = failures + FAILURE_EWMA * ((ok ? 0.0 : 1.0) - failures);
	h->failures_us = now_us;
	if (ok) {
		h->suspect_until_us = 0;
		h->backoff_ms = 0;
	}
	h->refs--;
}

/*
 * lw_place_replaced() - a server at the address of @h says that it is another
 * one. After a power failure of all hosts the old entries still stand beside
 * servers that have started anew: 126 calls of two seconds were turned away.
 */
void lw_place_replaced(lw_place_host_t *h, uint64_t now_us)
{
	h->replaced_until_us = now_us + REPLACED_US;
}

/*
 * lw_place_leaves() - the process of @h has said that it leaves: it gets no new
 * work, whatever its entry says. False if that was known.
 */
bool lw_place_leaves(lw_place_host_t *h)
{
	bool news = !h->draining;

	h->draining = true;
	return news;
}

/*
 * lw_place_told() - the node beside @h told its load. Returns whether it is news
 * that the server leaves.
 */
bool lw_place_told(lw_place_host_t *h, const lw_load_t *load, uint64_t now_us)
{
	h->load = *load;
	h->load_us = now_us;
	h->sent = 0;
	if (!lw_notice_matches(&load->notice, h->id, h->born_ms))
		memset(&h->load.notice, 0, sizeof(h->load.notice));
	return h->load.notice.leaving && lw_place_leaves(h);
}

/*
 * lw_place_node_told() - a node told the load of its backend server, whichever that
 * is. Returns the server of which it is news that it leaves, or NULL.
 */
const lw_place_host_t *lw_place_node_told(lw_place_t *p, const char *node, const lw_load_t *load,
					  uint64_t now_us)
{
	const lw_place_host_t *leaving = NULL;

	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			if (lw_place_usable(h, now_us) && !h->draining &&
			    strcmp(h->node, node) == 0) {
				if (lw_place_told(h, load, now_us))
					leaving = h;
				h->suspect_until_us = 0;
				h->backoff_ms = 0;
			}
	return leaving;
}

/*
 * lw_place_node_lost() - a node cannot be reached or has gone silent: it gets
 * no new work for a while, longer each time in a row. @used: the lost connection
 * had carried something. One that was only tried says nothing of a node never
 * heard of: in a fleet that starts it may not listen yet.
 */
void lw_place_node_lost(lw_place_t *p, const char *node, bool used, uint64_t now_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (strcmp(h->node, node) != 0 || now_us < h->suspect_until_us)
				continue;
			if (!used && !h->load_us && !h->backoff_ms)
				continue;
			h->backoff_ms = h->backoff_ms ? h->backoff_ms * 2 : SUSPECT_MIN_MS;
			if (h->backoff_ms > SUSPECT_MAX_MS)
				h->backoff_ms = SUSPECT_MAX_MS;
			h->suspect_until_us = now_us + (uint64_t)h->backoff_ms * 1000;
			h->load.leaving = false;
		}
}
