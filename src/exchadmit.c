/*
 * Whether a request of a caller may begin: who asks, on which route and terms, and
 * whether what it leads to, and its organisation's limit, have room for it.
 */
#include "exchange_int.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "comeback.h"
#include "credential.h"
#include "log.h"
#include "xalloc.h"

/* a request without a deadline of its own and no route timeout, ms */
#define DEADLINE_DEFAULT_MS 30000
/* the server's own answer at the deadline is waited for a little, ms */
#define TIMEOUT_SLACK_MS 15
/*
 * A node whose news from the store is older than this cannot tell a wrong key
 * from a new one. A caller does not repeat a request that was answered 401, so it
 * is told to come back instead, ms.
 */
#define KEYS_OLD_MS 2500

/* Who sent a request. */
typedef enum lw_identity {
	LW_IDENTITY_KNOWN, /* an organisation, or none where none is asked for */
	LW_IDENTITY_UNKNOWN, /* no key, or one that nobody holds */
	LW_IDENTITY_UNSURE, /* likewise, but this node's keys may be old */
	LW_IDENTITY_AMBIGUOUS, /* two keys */
} lw_identity_t;

static uint32_t header_ms(const lw_httphead_t *h)
{
	lw_str_t v = lw_httphead_find(h, LW_HEADER_DEADLINE);
	uint64_t ms = 0;

	if (!v.len)
		return 0;
	for (size_t i = 0; i < v.len; i++) {
		if (v.ptr[i] < '0' || v.ptr[i] > '9')
			break;
		ms = ms * 10 + (uint64_t)(v.ptr[i] - '0');
		if (ms > UINT32_MAX / 2)
			return UINT32_MAX / 2;
	}
	return ms ? (uint32_t)ms : 1;
}

static void set_times(lw_exchange_t *x, const lw_exchange_ask_t *ask, uint32_t timeout_ms)
{
	uint64_t now = x->engine->evloop->now_us;
	uint32_t deadline = header_ms(ask->head);
	uint32_t give_up;

	if (!deadline)
		deadline = timeout_ms ? timeout_ms : DEADLINE_DEFAULT_MS;
	give_up = timeout_ms && timeout_ms < deadline ? timeout_ms : deadline;
	x->started_us = now;
	x->target_us = now + (uint64_t)x->target_ms * 1000;
	x->deadline_us = now + (uint64_t)deadline * 1000;
	x->deadline_us -=
		ask->late_us < (uint64_t)deadline * 1000 ? ask->late_us : (uint64_t)deadline * 1000;
	x->give_up_us = now + (uint64_t)give_up * 1000;
	if (x->give_up_us > x->deadline_us)
		x->give_up_us = x->deadline_us;
	ev_timer_init(&x->timer, lw_exchange_timeout,
		      (lw_exchange_left_ms(x, x->give_up_us) + TIMEOUT_SLACK_MS) / 1000.0, 0);
	x->timer.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->timer);
}

/* what is sent on: a key stays here, and which organisation holds it is said by this node alone */
static void compose_head(lw_exchange_t *x, const lw_httphead_t *h)
{
	const lw_evloop_t *evloop = x->engine->evloop;
	const char *org_header = evloop->names->header[LW_HEADER_ORGANISATION];

	lw_httphead_forward(h, x->engine->conf->orgs != NULL, &x->head);
	if (x->org[0])
		lw_bytebuf_printf(&x->head, "%s: %s\r\n", org_header, x->org);
	lw_fingerprinter_begin(&x->print,
			       (lw_str_t){ lw_bytebuf_head(&x->head), lw_bytebuf_len(&x->head) },
			       org_header);
	lw_fingerprinter_body(&x->print, (lw_str_t){ NULL, 0 }, x->fin);
	lw_bytebuf_printf(&x->head, "%s: %s\r\n", evloop->names->header[LW_HEADER_CALLER],
			  evloop->set->service);
}

/*
 * A call made by the backend server on this host is part of a request that
 * runs there. Callers and the backend server share the host's address, so only
 * the id tells: backend servers build the id of a call from that of the
 * request it is for, a dot and more. A call whose request is not known, as
 * this process started after it, ranks by its route.
 */
static void find_parent(lw_exchange_t *x, lw_gate_parent_t *parent)
{
	const char *dot = strrchr(x->request_id, '.');

	if (!dot)
		return;
	for (const char *p = x->request_id; *p; p++)
		x->above += *p == '.';
	x->parent_id = (lw_str_t){ x->request_id, (size_t)(dot - x->request_id) };
	x->nested = true;
	x->attempts.nested = true;
	if (!lw_gate_parent(&x->engine->gate, x->parent_id, parent))
		x->parent_id.len = 0;
}

static lw_identity_t unknown(const lw_engine_t *e)
{
	return e->news_age_ms && e->news_age_ms(e->ctx) > KEYS_OLD_MS ? LW_IDENTITY_UNSURE :
									LW_IDENTITY_UNKNOWN;
}

/* who sent the request; @org: NULL for calls of running requests and open routes */
static lw_identity_t identify(const lw_exchange_t *x, const lw_httphead_t *h,
			      const lw_fleet_route_t *r, const lw_organisation_t **org)
{
	const lw_engine_t *e = x->engine;
	lw_str_t key;

	*org = NULL;
	if (!e->conf->orgs || r->open)
		return LW_IDENTITY_KNOWN;
	switch (lw_credential_read(h, e->evloop->names->credential_scheme, &key)) {
	case LW_CREDENTIAL_TWICE:
		return LW_IDENTITY_AMBIGUOUS;
	case LW_CREDENTIAL_KEY:
		*org = lw_orgs_by_key(e->conf->orgs, key);
		return *org ? LW_IDENTITY_KNOWN : unknown(e);
	case LW_CREDENTIAL_NONE:
		return x->parent_id.len ? LW_IDENTITY_KNOWN : unknown(e);
	default:
		return LW_IDENTITY_UNKNOWN;
	}
}

/* the terms of the route in force now */
static void apply_route(lw_exchange_t *x, const lw_exchange_ask_t *ask, lw_fleet_route_t *r,
			const lw_organisation_t *org)
{
	lw_engine_t *e = x->engine;
	uint32_t priority = lw_fleetconf_priority(e->conf, org, r);

	lw_str_copy(x->route, sizeof(x->route), lw_str_c(r->name));
	x->stat = lw_routestats_get(&e->routes, x->route);
	x->priority = r->priority;
	x->rank = lw_rank(priority, lw_str_c(x->request_id));
	x->target_ms = r->target_ms;
	x->attempts.idempotent = r->idempotent;
	x->attempts.max_given = r->max_attempts;
	x->service = lw_place_service(&e->place, lw_fleet_route_next(r));
	if (org) {
		lw_str_copy(x->org, sizeof(x->org), lw_str_c(org->name));
		x->org_id = org->id;
	}
	set_times(x, ask, r->timeout_ms);
}

/* answered before it has a route and terms: nothing of it is kept */
static void turn_away(lw_exchange_t *x, uint32_t status, const char *why, uint32_t retry_after_ms)
{
	lw_reply_t *reply = x->reply;

	lw_exchange_release(x);
	reply->ops->own(reply, status, why, retry_after_ms);
}

static void turn_away_unknown(lw_exchange_t *x, lw_identity_t who, const lw_fleet_route_t *r)
{
	lw_engine_t *e = x->engine;
	uint32_t news_ms = e->news_age_ms ? e->news_age_ms(e->ctx) : 0;

	e->stats.not_identified++;
	lw_log(LW_LOG_not_identified, "id=%s route=%s config=%llu news_age_ms=%u why=%s",
	       x->request_id, r->name, (unsigned long long)e->conf->version, news_ms,
	       who == LW_IDENTITY_AMBIGUOUS ? "two_keys" :
	       who == LW_IDENTITY_UNSURE    ? "keys_old" :
					      "unknown_key");
	if (who == LW_IDENTITY_AMBIGUOUS)
		turn_away(x, 400, "two_keys", 0);
	else if (who == LW_IDENTITY_UNSURE)
		turn_away(x, 503, "keys_old", LW_COMEBACK_DEFAULT_MS);
	else
		turn_away(x, 401, "unknown_key", 0);
}

/* false: a service that the request leads to could not finish it, and it was refused */
static bool path_admits(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_hot_t hot;

	x->rank = lw_hotpath_weighed(e->hotpath, x->route, x->rank, e->evloop->now_us);
	if (lw_hotpath_admits(e->hotpath, x->route, x->rank, e->evloop->now_us, &hot))
		return true;
	lw_log(LW_LOG_path_busy, "id=%s route=%s rank=%u by=%s level=%u", x->request_id, x->route,
	       x->rank, hot.service, hot.level);
	x->limited = lw_place_limited(&e->place, hot.service, e->evloop->now_us);
	lw_exchange_refuse(x, LW_FAIL_PATH_BUSY);
	return false;
}

/* false: its organisation is at its limit, and it was refused */
static bool limit_admits(lw_exchange_t *x, const lw_organisation_t *org)
{
	lw_engine_t *e = x->engine;
	lw_quota_verdict_t v;

	lw_quota_take(e->quota, org, e->evloop->now_us, &v);
	x->counted = v.admitted;
	if (v.admitted)
		return true;
	lw_log(LW_LOG_over_limit,
	       "id=%s route=%s org=%s rate=%.0f admit_permille=%u alone=%d news_ms=%u",
	       x->request_id, x->route, x->org, org->rate_per_s, v.admit_permille, v.alone,
	       v.news_ms);
	x->room_ms = v.room_ms;
	lw_exchange_refuse(x, LW_FAIL_OVER_LIMIT);
	return false;
}

/* false: the request was refused */
static bool may_begin(lw_exchange_t *x, const lw_organisation_t *org)
{
	if (x->engine->evloop->callers_refused && !x->parent_id.len) {
		lw_exchange_refuse(x, LW_FAIL_LEAVING);
		return false;
	}
	if (x->nested)
		return true;
	return path_admits(x) && (!org || limit_admits(x, org));
}

/* false: it has no route, or nobody known sent it, and it was answered */
static bool settle_terms(lw_exchange_t *x, const lw_exchange_ask_t *ask,
			 const lw_organisation_t **org)
{
	lw_engine_t *e = x->engine;
	lw_gate_parent_t parent = { 0 };
	lw_fleet_route_t *r;
	lw_identity_t who;

	if (!e->conf) {
		e->stats.no_config++;
		turn_away(x, 503, "starting", LW_COMEBACK_DEFAULT_MS);
		return false;
	}
	r = lw_fleetconf_match(e->conf, ask->head->host, ask->head->target);
	if (!r || !r->nsplits) {
		e->stats.no_route++;
		turn_away(x, 404, "no_route", 0);
		return false;
	}
	find_parent(x, &parent);
	who = identify(x, ask->head, r, org);
	if (who != LW_IDENTITY_KNOWN) {
		turn_away_unknown(x, who, r);
		return false;
	}
	apply_route(x, ask, r, *org);
	e->stats.nested += x->nested;
	if (x->parent_id.len) {
		x->rank = parent.rank;
		x->repeat = parent.repeat;
		x->target_us = parent.target_us;
	}
	return true;
}

/*
 * lw_exchange_start() - take up a request. Call lw_exchange_send() when what
 * has arrived of its body is given, to find it a server. Returns NULL if the
 * request has been answered already.
 */
lw_exchange_t *lw_exchange_start(lw_engine_t *e, lw_reply_t *reply, const lw_exchange_ask_t *ask)
{
	lw_exchange_t *x = xcalloc(1, sizeof(*x));
	const lw_organisation_t *org;

	x->sink.ops = &lw_exchange_sink_ops;
	x->engine = e;
	x->reply = reply;
	x->body_length = ask->body_length;
	x->fin = ask->body_length == 0;
	x->request_id = lw_str_dup(lw_httphead_find(ask->head, LW_HEADER_REQUEST_ID));
	ev_timer_init(&x->timer, lw_exchange_timeout, 0, 0);
	ev_timer_init(&x->hold, lw_exchange_hold_over, 0, 0);
	ev_timer_init(&x->stall, lw_exchange_stalled, 0, 0);
	e->active++;
	DL_APPEND(e->exchanges, x);
	e->stats.requests++;
	if (!settle_terms(x, ask, &org) || !may_begin(x, org))
		return NULL;
	compose_head(x, ask->head);
	lw_retrylimit_request(&x->service->retries, &e->place.terms, e->evloop->now_us);
	if (x->repeat)
		lw_retrylimit_repeat(&x->service->retries, &e->place.terms, e->evloop->now_us);
	return x;
}
