/* Levels of services along routes; see hotpath.h. */
#include "hotpath.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "level.h"
#include "xalloc.h"

/*
 * Weight of one more told level: several servers of a service tell their own.
 * News that comes seldom weighs more, by the time since the last, us: a node
 * that admits two requests a second would else follow after five seconds. A
 * level that falls counts more, what is let in too much is late or lost; of
 * the level of the retry budget one that rises, as its faults end at once.
 */
#define LEVEL_EWMA    0.2
#define LEVEL_FAST    0.5
#define LEVEL_HALF_US 400000
/*
 * Without news a level rises again, so that a route of which nothing is
 * admitted is tried after a while. Age of news that counts as none, us, and
 * ranks it rises for each millisecond after that.
 */
#define NEWS_OLD_US 300000
#define RISE_PER_MS 1
/* after so long without news the next level told is taken as it is, us */
#define NEWS_FORGOTTEN_US 1000000
/*
 * A service that had no reachable server at all has one again at once when its
 * node is back, and nothing tells: its level rises so many times as fast.
 */
#define RISE_SHUT_FACTOR 6
/* heard news must be newer than what is known by this: ages are whole ms, us */
#define HEARD_NEWER_US 2000
/* a route that was not led to a service for so long does not lead there, us */
#define ROUTE_FORGETS_US 3000000
/* weight of one more request in the work its route makes at a service */
#define WORK_EWMA 0.05
/*
 * Ranks are lowered to this part at most: of the kind that costs the most at
 * least a third as many are let in as of any other of its priority.
 */
#define WEIGHED_LEAST 0.34
/* one answer lowers the told use of the allowance by this part (1/n) of the difference */
#define USED_FADES 10
/* routes of which the levels are kept; more are refused by their server only */
#define ROUTES_MAX 4096

/* which level of which service; compared byte by byte */
typedef struct lw_hot_key {
	char name[LW_NAME_MAX];
	uint32_t calls;
} lw_hot_key_t;

typedef struct lw_hot_service {
	lw_hot_key_t key;
	double level;
	uint64_t told_us;
	bool known; /* a level was told */
	struct { /* by priority: the route that makes the most work there */
		const struct lw_hot_route *route;
		double work_us;
		uint64_t seen_us;
	} most[LW_PRIORITIES_MAX];
	bool shut; /* as told last */
	UT_hash_handle hh;
} lw_hot_service_t;

typedef struct lw_hot_route {
	char name[LW_NAME_MAX];
	uint32_t depth; /* levels of calls below a request, the most seen */
	uint32_t retry_used; /* per mille of the repeats allowed that its calls use */
	struct {
		lw_hot_service_t *service;
		uint64_t seen_us;
		double work_us; /* moving average: time a request and its calls run there */
	} leads_to[LW_HOTS_MAX];
	UT_hash_handle hh;
} lw_hot_route_t;

struct lw_hotpath {
	lw_hot_service_t *services;
	lw_hot_route_t *routes;
};

static lw_hot_t *find_hot(lw_hots_t *h, const lw_hot_t *hot)
{
	for (uint32_t i = 0; i < h->n; i++)
		if (h->hot[i].calls == hot->calls && strcmp(h->hot[i].service, hot->service) == 0)
			return &h->hot[i];
	return NULL;
}

/* the place for one more: where there is none, that of the highest level */
static lw_hot_t *place_for(lw_hots_t *h, uint32_t level)
{
	lw_hot_t *highest = &h->hot[0];

	if (h->n < LW_HOTS_MAX)
		return &h->hot[h->n++];
	for (uint32_t i = 1; i < h->n; i++)
		if (h->hot[i].level > highest->level)
			highest = &h->hot[i];
	return highest->level > level ? highest : NULL;
}

/*
 * lw_hots_add() - note the level of a service on the path, also one that
 * refuses nothing: before it does, the roots know what leads to it. Of one that
 * is noted already the lower level counts, and the work adds up.
 */
void lw_hots_add(lw_hots_t *h, const lw_hot_t *hot)
{
	lw_hot_t *known = find_hot(h, hot);

	if (known) {
		known->work_us += hot->work_us;
		if (hot->level < known->level)
			known->level = hot->level;
		return;
	}
	known = place_for(h, hot->level);
	if (known)
		*known = *hot;
}

/* lw_hotpath_new() - nothing is refused. */
lw_hotpath_t *lw_hotpath_new(void)
{
	return xcalloc(1, sizeof(lw_hotpath_t));
}

static lw_hot_service_t *service_of(lw_hotpath_t *p, const lw_hot_t *hot)
{
	lw_hot_service_t *s;
	lw_hot_key_t key;

	memset(&key, 0, sizeof(key));
	lw_str_copy(key.name, sizeof(key.name), lw_str_c(hot->service));
	key.calls = hot->calls;
	HASH_FIND(hh, p->services, &key, sizeof(key), s);
	if (s)
		return s;
	s = xcalloc(1, sizeof(*s));
	s->key = key;
	s->level = LW_LEVEL_OPEN;
	HASH_ADD(hh, p->services, key, sizeof(s->key), s);
	return s;
}

static lw_hot_route_t *route_of(lw_hotpath_t *p, const char *name)
{
	lw_hot_route_t *r;

	HASH_FIND_STR(p->routes, name, r);
	if (r || HASH_COUNT(p->routes) >= ROUTES_MAX)
		return r;
	r = xcalloc(1, sizeof(*r));
	lw_str_copy(r->name, sizeof(r->name), lw_str_c(name));
	HASH_ADD_STR(p->routes, name, r);
	return r;
}

/* where to note one more service: a free place, a forgotten one, or that of the highest level */
static int place_on_route(const lw_hot_route_t *r, uint64_t now_us)
{
	int highest = 0;

	for (int i = 0; i < LW_HOTS_MAX; i++) {
		if (!r->leads_to[i].service || now_us - r->leads_to[i].seen_us >= ROUTE_FORGETS_US)
			return i;
		if (r->leads_to[i].service->level > r->leads_to[highest].service->level)
			highest = i;
	}
	return highest;
}

static void leads_to(lw_hot_route_t *r, lw_hot_service_t *s, uint64_t now_us)
{
	int place;

	for (int i = 0; i < LW_HOTS_MAX; i++) {
		if (r->leads_to[i].service != s)
			continue;
		r->leads_to[i].seen_us = now_us;
		return;
	}
	place = place_on_route(r, now_us);
	r->leads_to[place].service = s;
	r->leads_to[place].seen_us = now_us;
	r->leads_to[place].work_us = 0;
}

/* the level as it is now: without news it has risen */
static double level_now(const lw_hot_service_t *s, uint64_t now_us)
{
	uint64_t age = now_us - s->told_us;
	double level = s->level;

	if (age > NEWS_OLD_US)
		level += (double)(age - NEWS_OLD_US) / 1000.0 * RISE_PER_MS *
			 (s->shut ? RISE_SHUT_FACTOR : 1);
	return level;
}

static double news_weight(const lw_hot_service_t *s, bool falls, uint64_t now_us)
{
	uint64_t age = now_us - s->told_us;
	double by_age = (double)age / (double)(age + LEVEL_HALF_US);
	double least = falls == !s->key.calls ? LEVEL_FAST : LEVEL_EWMA;

	if (!s->known || age > NEWS_FORGOTTEN_US)
		return 1;
	return by_age > least ? by_age : least;
}

/*
 * A service that refuses nothing is told as one that refuses a priority less:
 * a caller that has seen little of it may be wrong. What is refused for want
 * of repeats is let in at once, by who has just seen the last of the faults.
 */
static double told_level(const lw_hot_t *hot, double level)
{
	double most = level + LW_RANKS_PER_PRIORITY;

	if (hot->calls || hot->level < LW_LEVEL_OPEN || most > LW_LEVEL_OPEN)
		return hot->level;
	return most;
}

static void take_level(lw_hot_service_t *s, double level, bool shut, uint64_t told_us)
{
	s->level = level;
	s->told_us = told_us;
	s->known = true;
	s->shut = shut;
}

/*
 * lw_hotpath_tell() - the levels below LW_LEVEL_OPEN that this node has fresh
 * news of, for other nodes; at most @most of them. Returns how many.
 */
uint32_t lw_hotpath_tell(const lw_hotpath_t *p, uint64_t now_us, lw_heard_t *out, uint32_t most)
{
	uint32_t n = 0;

	for (const lw_hot_service_t *s = p->services; s && n < most; s = s->hh.next) {
		uint64_t age = now_us - s->told_us;

		if (!s->known || age > NEWS_OLD_US || s->level >= LW_LEVEL_OPEN)
			continue;
		memset(&out[n], 0, sizeof(out[n]));
		lw_str_copy(out[n].service, LW_NAME_MAX, lw_str_c(s->key.name));
		out[n].calls = s->key.calls;
		out[n].level = (uint32_t)s->level;
		out[n].age_ms = (uint32_t)(age / 1000);
		n++;
	}
	return n;
}

/*
 * lw_hotpath_heard() - another node told a level. Newer news replaces older, so
 * that it spreads with whatever answers come next: by the answers of the
 * requests that met the full service alone, a root four services above it
 * heard only when these were over, after a second and a half in a full queue.
 */
void lw_hotpath_heard(lw_hotpath_t *p, const lw_heard_t *h, uint64_t now_us)
{
	uint64_t told_us = now_us - (uint64_t)h->age_ms * 1000;
	lw_hot_t hot = { .calls = h->calls };
	lw_hot_service_t *s;

	lw_str_copy(hot.service, sizeof(hot.service), lw_str_c(h->service));
	s = service_of(p, &hot);
	if (h->age_ms * 1000 > NEWS_OLD_US || (s->known && told_us <= s->told_us + HEARD_NEWER_US))
		return;
	take_level(s, h->level, h->level <= LW_LEVEL_SHUT, told_us);
}

/*
 * lw_hotpath_told() - an answer on @route came with the levels of the
 * services its work led to, and with the levels of calls below it.
 */
void lw_hotpath_told(lw_hotpath_t *p, const char *route, const lw_hots_t *hots, uint32_t depth,
		     uint64_t now_us)
{
	lw_hot_route_t *r = hots->n || depth ? route_of(p, route) : NULL;

	if (r && depth > r->depth)
		r->depth = depth;
	for (uint32_t i = 0; i < hots->n; i++) {
		lw_hot_service_t *s = service_of(p, &hots->hot[i]);
		double level = level_now(s, now_us);
		double weight = news_weight(s, hots->hot[i].level < level, now_us);

		take_level(s, level + weight * (told_level(&hots->hot[i], level) - level),
			   hots->hot[i].level <= LW_LEVEL_SHUT, now_us);
		if (r)
			leads_to(r, s, now_us);
	}
}

static uint32_t known_priority(uint32_t priority)
{
	return priority < LW_PRIORITIES_MAX ? priority : LW_PRIORITIES_MAX - 1;
}

/* the average work of @r at @s is @work_us now: is that the most of its priority? */
static void compare_work(lw_hot_service_t *s, uint32_t priority, const lw_hot_route_t *r,
			 double work_us, uint64_t now_us)
{
	uint32_t p = known_priority(priority);
	bool forgotten = now_us - s->most[p].seen_us >= ROUTE_FORGETS_US;

	if (s->most[p].route != r && !forgotten && work_us <= s->most[p].work_us)
		return;
	s->most[p].route = r;
	s->most[p].work_us = work_us;
	s->most[p].seen_us = now_us;
}

static void took_work(lw_hot_route_t *r, lw_hot_service_t *s, uint32_t priority, uint32_t told_us,
		      uint64_t now_us)
{
	for (int i = 0; i < LW_HOTS_MAX; i++) {
		double *work_us = &r->leads_to[i].work_us;

		if (r->leads_to[i].service != s)
			continue;
		*work_us += *work_us > 0 ? WORK_EWMA * (told_us - *work_us) : told_us;
		compare_work(s, priority, r, *work_us, now_us);
	}
}

/*
 * lw_hotpath_worked() - a user request on @route was served; @hots tells how
 * long it and its calls ran at services that refuse some.
 */
void lw_hotpath_worked(lw_hotpath_t *p, const char *route, uint32_t priority, const lw_hots_t *hots,
		       uint64_t now_us)
{
	lw_hot_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	for (uint32_t i = 0; r && i < hots->n; i++) {
		lw_hot_service_t *s = service_of(p, &hots->hot[i]);

		if (!hots->hot[i].work_us)
			continue;
		leads_to(r, s, now_us);
		took_work(r, s, priority, hots->hot[i].work_us, now_us);
	}
}

/*
 * lw_hotpath_weighed() - @rank, drawn from a request's id, lowered within its
 * priority for a route whose requests make less work than others at the
 * services that are full: for what one lookup with eight calls to a leaf
 * costs, two and a half confirmations that run there once can be served.
 */
uint32_t lw_hotpath_weighed(const lw_hotpath_t *p, const char *route, uint32_t rank,
			    uint64_t now_us)
{
	uint32_t priority = rank / LW_RANKS_PER_PRIORITY;
	uint32_t within = rank % LW_RANKS_PER_PRIORITY;
	const lw_hot_route_t *r;
	double part = 0;

	HASH_FIND_STR(p->routes, route, r);
	for (int i = 0; r && i < LW_HOTS_MAX; i++) {
		const lw_hot_service_t *s = r->leads_to[i].service;
		double most = s ? s->most[known_priority(priority)].work_us : 0;

		if (most <= 0 || !r->leads_to[i].work_us ||
		    now_us - r->leads_to[i].seen_us >= ROUTE_FORGETS_US)
			continue;
		if (r->leads_to[i].work_us / most > part)
			part = r->leads_to[i].work_us / most;
	}
	if (part <= 0 || part > 1)
		return rank;
	if (part < WEIGHED_LEAST)
		part = WEIGHED_LEAST;
	return priority * LW_RANKS_PER_PRIORITY + (uint32_t)(within * part);
}

/* lw_hotpath_depth() - levels of calls below a request on @route, as far as seen. */
uint32_t lw_hotpath_depth(const lw_hotpath_t *p, const char *route)
{
	const lw_hot_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	return r ? r->depth : 0;
}

/*
 * lw_hotpath_used() - an answer on @route told how much of the allowance the
 * calls below use. The most of any path counts; it fades with answers that
 * tell less.
 */
void lw_hotpath_used(lw_hotpath_t *p, const char *route, uint32_t permille)
{
	lw_hot_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	if (!r)
		return;
	if (permille >= r->retry_used)
		r->retry_used = permille;
	else
		r->retry_used -= (r->retry_used - permille + USED_FADES - 1) / USED_FADES;
}

/* lw_hotpath_retry_used() - per mille of the allowance that calls below @route use. */
uint32_t lw_hotpath_retry_used(const lw_hotpath_t *p, const char *route)
{
	const lw_hot_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	return r ? r->retry_used : 0;
}

/*
 * lw_hotpath_admits() - false if a service that @route leads to could not
 * finish a request of @rank; @by tells which one and its level. A caller that
 * has come back as it was told is not turned away again for want of repeats:
 * there are slots, and its chance is better than none. Where a leaf shed 55% for
 * 8.5 s of a burst, 10,600 of 43,768 requests were refused twice, with this 5,109.
 */
bool lw_hotpath_admits(const lw_hotpath_t *p, const char *route, uint32_t rank, bool returned,
		       uint64_t now_us, lw_hot_t *by)
{
	const lw_hot_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	if (!r)
		return true;
	for (int i = 0; i < LW_HOTS_MAX; i++) {
		const lw_hot_service_t *s = r->leads_to[i].service;

		if (!s || now_us - r->leads_to[i].seen_us >= ROUTE_FORGETS_US ||
		    rank < level_now(s, now_us) || (s->key.calls && returned))
			continue;
		lw_str_copy(by->service, sizeof(by->service), lw_str_c(s->key.name));
		by->level = (uint32_t)level_now(s, now_us);
		return false;
	}
	return true;
}
