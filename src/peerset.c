/* The peers of a node and the selection among them; see peerset.h. */
#include "peerset.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "xalloc.h"

#define SUSPECT_AFTER	  3 /* consecutive failures */
#define SUSPECT_MS	  2000
#define SUSPECT_MAX_MS	  4000
#define SLOW_START_MS	  5000 /* backend servers have cold starts */
#define LOAD_HALF_LIFE_MS 500.0 /* half-life of a reported load */
#define COST_INFLIGHT	  150.0 /* one open call of this node, in permille of load */
#define COST_FAILING	  3000.0 /* a peer that fails all its calls */
#define COST_COLD	  600.0 /* a peer that has just started */
#define COST_OTHER_ZONE	  250.0 /* crossing availability zones */
#define FULL_PERMILLE	  900.0
#define EWMA		  0.1

typedef struct peer_slot {
	lw_peer_t peer;
	int index;
	bool hashed;
	UT_hash_handle hh; /* by peer.addr */
} peer_slot_t;

typedef struct service {
	char name[LW_NAME_MAX];
	int *members; /* listed peers of the service */
	size_t nmembers, cap;
} service_t;

struct lw_peerset {
	char zone[LW_NAME_MAX];
	unsigned short rng[3];
	peer_slot_t **slots; /* array of pointers, so that growing it moves no peer */
	size_t nslots;
	peer_slot_t *by_addr;
	service_t *services;
	size_t nservices;
};

/*
 * lw_peerset_new() - an empty set for a node in @zone. @seed makes the
 * random choices repeatable in scripted runs.
 */
lw_peerset_t *lw_peerset_new(const char *zone, uint64_t seed)
{
	lw_peerset_t *ps = xcalloc(1, sizeof(*ps));

	snprintf(ps->zone, sizeof(ps->zone), "%s", zone);
	ps->rng[0] = (unsigned short)seed;
	ps->rng[1] = (unsigned short)(seed >> 16);
	ps->rng[2] = (unsigned short)(seed >> 32);
	return ps;
}

/* lw_peerset_free() - release the set and its peers. */
void lw_peerset_free(lw_peerset_t *ps)
{
	HASH_CLEAR(hh, ps->by_addr);
	for (size_t i = 0; i < ps->nslots; i++)
		free(ps->slots[i]);
	for (size_t i = 0; i < ps->nservices; i++)
		free(ps->services[i].members);
	free(ps->slots);
	free(ps->services);
	free(ps);
}

/* lw_peerset_service() - index of service @name, or -1 when no host list named it. */
int lw_peerset_service(const lw_peerset_t *ps, const char *name)
{
	for (size_t i = 0; i < ps->nservices; i++)
		if (strcmp(ps->services[i].name, name) == 0)
			return (int)i;
	return -1;
}

/* lw_peerset_service_name() - the name of @service. */
const char *lw_peerset_service_name(const lw_peerset_t *ps, uint32_t service)
{
	return service < ps->nservices ? ps->services[service].name : "?";
}

/* lw_peerset_count() - number of indexes in use or reusable; see lw_peerset_get(). */
size_t lw_peerset_count(const lw_peerset_t *ps)
{
	return ps->nslots;
}

/* lw_peerset_get() - the peer with index @peer, or NULL. */
lw_peer_t *lw_peerset_get(const lw_peerset_t *ps, int peer)
{
	return peer >= 0 && (size_t)peer < ps->nslots ? &ps->slots[peer]->peer : NULL;
}

static peer_slot_t *find_slot(const lw_peerset_t *ps, const char *addr)
{
	peer_slot_t *s = NULL;

	HASH_FIND_STR(ps->by_addr, addr, s);
	return s;
}

/* lw_peerset_find() - index of the peer at @addr, or -1. */
int lw_peerset_find(const lw_peerset_t *ps, const char *addr)
{
	peer_slot_t *s = find_slot(ps, addr);

	return s ? s->index : -1;
}

static peer_slot_t *free_slot(lw_peerset_t *ps)
{
	for (size_t i = 0; i < ps->nslots; i++) {
		peer_slot_t *s = ps->slots[i];

		/*
		 * An open call still refers to the index, which must not be given to
		 * another peer.
		 */
		if (!s->peer.listed && s->peer.inflight == 0)
			return s;
	}
	ps->slots = xrealloc(ps->slots, (ps->nslots + 1) * sizeof(peer_slot_t *));
	ps->slots[ps->nslots] = xcalloc(1, sizeof(peer_slot_t));
	ps->slots[ps->nslots]->index = (int)ps->nslots;
	return ps->slots[ps->nslots++];
}

static peer_slot_t *add_slot(lw_peerset_t *ps, const char *addr, uint64_t now_ms)
{
	peer_slot_t *s = free_slot(ps);

	if (s->hashed)
		HASH_DEL(ps->by_addr, s);
	memset(&s->peer, 0, sizeof(s->peer));
	snprintf(s->peer.addr, sizeof(s->peer.addr), "%s", addr);
	s->peer.since_ms = now_ms;
	s->hashed = true;
	HASH_ADD_STR(ps->by_addr, peer.addr, s);
	return s;
}

static service_t *service_of(lw_peerset_t *ps, const char *name, uint32_t *index)
{
	int i = lw_peerset_service(ps, name);

	if (i < 0) {
		ps->services = xrealloc(ps->services, (ps->nservices + 1) * sizeof(*ps->services));
		memset(&ps->services[ps->nservices], 0, sizeof(*ps->services));
		snprintf(ps->services[ps->nservices].name, LW_NAME_MAX, "%s", name);
		i = (int)ps->nservices++;
	}
	*index = (uint32_t)i;
	return &ps->services[i];
}

static void add_member(service_t *s, int peer)
{
	if (s->nmembers == s->cap) {
		s->cap = s->cap ? s->cap * 2 : 8;
		s->members = xrealloc(s->members, s->cap * sizeof(*s->members));
	}
	s->members[s->nmembers++] = peer;
}

/*
 * lw_peerset_update() - apply a newer host list. The observed state of a peer that stays
 * is kept: the list lags, and discarding a drain announcement would send requests to a
 * leaving backend server.
 */
void lw_peerset_update(lw_peerset_t *ps, const lw_host_t *hosts, size_t nhosts, uint64_t now_ms)
{
	bool first = ps->nslots == 0;

	for (size_t i = 0; i < ps->nslots; i++)
		ps->slots[i]->peer.listed = false;
	/* mark the peers that stay before any slot is reused for a new peer */
	for (size_t i = 0; i < nhosts; i++) {
		peer_slot_t *s = find_slot(ps, hosts[i].addr);

		if (s)
			s->peer.listed = true;
	}
	for (size_t i = 0; i < ps->nservices; i++)
		ps->services[i].nmembers = 0;
	for (size_t i = 0; i < nhosts; i++) {
		peer_slot_t *s = find_slot(ps, hosts[i].addr);
		service_t *svc;
		uint32_t index;

		if (!s)
			s = add_slot(ps, hosts[i].addr, now_ms);
		svc = service_of(ps, hosts[i].service, &index);
		/* an address can be reused by a server of another service */
		if (s->peer.listed && s->peer.service != index)
			s->peer.since_ms = now_ms;
		s->peer.listed = true;
		s->peer.leaving = hosts[i].leaving;
		s->peer.service = index;
		snprintf(s->peer.zone, sizeof(s->peer.zone), "%s", hosts[i].zone);
		if (first)
			s->peer.since_ms = 0; /* the fleet was running already: no slow start */
		add_member(svc, s->index);
	}
}

/* lw_peer_state() - the state of @p as the routing sees it at @now_ms. */
lw_peer_state_t lw_peer_state(const lw_peer_t *p, uint64_t now_ms)
{
	if (!p->listed)
		return LW_PEER_UNLISTED;
	if (p->leaving)
		return LW_PEER_LEAVING;
	if (p->draining)
		return LW_PEER_DRAINING;
	if (p->suspect_until > now_ms)
		return LW_PEER_SUSPECTED;
	return p->trial ? LW_PEER_TRIAL : LW_PEER_LIVE;
}

/* lw_peer_state_name() - the name `lwctl status` prints. */
const char *lw_peer_state_name(lw_peer_state_t s)
{
	static const char *const names[] = { "live",	  "leaving", "draining",
					     "suspected", "trial",   "unlisted" };

	return (unsigned)s < sizeof(names) / sizeof(names[0]) ? names[s] : "?";
}

static bool usable(const lw_peer_t *p, uint64_t now_ms)
{
	switch (lw_peer_state(p, now_ms)) {
	case LW_PEER_LIVE:
		return true;
	case LW_PEER_TRIAL:
		return p->inflight == 0;
	default:
		return false;
	}
}

static double load_now(const lw_peer_t *p, uint64_t now_ms)
{
	return p->load_permille * exp2(-(double)(now_ms - p->load_at_ms) / LOAD_HALF_LIFE_MS);
}

/* expected cost of one more call, in permille of a backend server's limit */
static double cost(const lw_peerset_t *ps, const lw_peer_t *p, uint64_t now_ms)
{
	double c = load_now(p, now_ms);

	c += COST_INFLIGHT * p->inflight + COST_FAILING * p->fail_ratio;
	if (p->since_ms && now_ms - p->since_ms < SLOW_START_MS)
		c += COST_COLD * (1.0 - (double)(now_ms - p->since_ms) / (double)SLOW_START_MS);
	if (strcmp(p->zone, ps->zone) != 0)
		c += COST_OTHER_ZONE;
	return c;
}

static int random_usable(lw_peerset_t *ps, const service_t *s, int avoid, const char *zone,
			 uint64_t now_ms)
{
	int chosen = -1;
	int seen = 0;

	/* reservoir sampling: each usable member is equally likely (Vitter 1985) */
	for (size_t i = 0; i < s->nmembers; i++) {
		const lw_peer_t *p = &ps->slots[s->members[i]]->peer;

		if (s->members[i] == avoid || !usable(p, now_ms))
			continue;
		if (zone && strcmp(p->zone, zone) != 0)
			continue;
		if (nrand48(ps->rng) % ++seen == 0)
			chosen = s->members[i];
	}
	return chosen;
}

/*
 * lw_peerset_pick() - the peer for one more call to @service, or -1.
 * Power of two choices (Mitzenmacher 2001): of one random peer of the own
 * zone and one of any zone the cheaper wins, so work stays in the zone
 * until that zone is clearly busier. @avoid (the peer of a failed attempt,
 * or -1) is chosen only when there is no other.
 */
int lw_peerset_pick(lw_peerset_t *ps, uint32_t service, int avoid, uint64_t now_ms)
{
	const service_t *s;
	int near, any;

	if (service >= ps->nservices)
		return -1;
	s = &ps->services[service];
	near = random_usable(ps, s, avoid, ps->zone, now_ms);
	any = random_usable(ps, s, avoid, NULL, now_ms);
	if (any < 0)
		return avoid >= 0 && usable(&ps->slots[avoid]->peer, now_ms) ? avoid : -1;
	if (near < 0)
		near = random_usable(ps, s, avoid, NULL, now_ms);
	return cost(ps, &ps->slots[near]->peer, now_ms) <= cost(ps, &ps->slots[any]->peer, now_ms) ?
		       near :
		       any;
}

/*
 * lw_peerset_has_room() - whether @service has a usable peer other than @avoid that has
 * not recently reported that it is full.
 */
bool lw_peerset_has_room(const lw_peerset_t *ps, uint32_t service, int avoid, uint64_t now_ms)
{
	const service_t *s = &ps->services[service];

	for (size_t i = 0; i < s->nmembers; i++) {
		const lw_peer_t *p = &ps->slots[s->members[i]]->peer;

		if (s->members[i] != avoid && usable(p, now_ms) &&
		    load_now(p, now_ms) < FULL_PERMILLE)
			return true;
	}
	return false;
}

/*
 * lw_peer_failed() - an attempt at @p failed. True when that makes it
 * suspected; each suspicion in a row lasts twice as long, up to 4 s.
 */
bool lw_peer_failed(lw_peer_t *p, uint64_t now_ms)
{
	p->fails++;
	p->fail_ratio += EWMA * (1.0 - p->fail_ratio);
	if (p->suspect_until > now_ms || (p->fails < SUSPECT_AFTER && !p->trial))
		return false;
	p->backoff_ms = p->backoff_ms ? p->backoff_ms * 2 : SUSPECT_MS;
	if (p->backoff_ms > SUSPECT_MAX_MS)
		p->backoff_ms = SUSPECT_MAX_MS;
	p->suspect_until = now_ms + p->backoff_ms;
	p->trial = true;
	return true;
}

/* lw_peer_succeeded() - @p answered; true when that ends a suspicion. */
bool lw_peer_succeeded(lw_peer_t *p)
{
	bool was_suspected = p->trial;

	p->fails = 0;
	p->backoff_ms = 0;
	p->suspect_until = 0;
	p->trial = false;
	p->fail_ratio -= EWMA * p->fail_ratio;
	return was_suspected;
}

/*
 * lw_peer_update_status() - @p reported its @incarnation and drain state, in a reply or a
 * heartbeat. A restarted peer (a new incarnation) starts from a clean state: a drain
 * announcement or suspicion of the previous process does not apply to it. Apart from that,
 * a report does not clear a suspicion, as a node can answer heartbeats while its backend
 * server hangs.
 */
void lw_peer_update_status(lw_peer_t *p, uint64_t incarnation, bool draining, uint64_t now_ms)
{
	if (incarnation && incarnation != p->incarnation) {
		if (p->incarnation)
			p->since_ms = now_ms;
		p->incarnation = incarnation;
		p->draining = false;
		p->fails = 0;
		p->backoff_ms = 0;
		p->suspect_until = 0;
		p->trial = false;
		p->fail_ratio = 0;
	}
	if (draining)
		p->draining = true;
}

/* lw_peer_update_load() - @p reported its load: in-flight calls over the limit, in permille. */
void lw_peer_update_load(lw_peer_t *p, uint32_t load_permille, uint64_t now_ms)
{
	p->load_permille = load_permille;
	p->load_at_ms = now_ms;
}
