/*
 * Admission of a caller's request: identifies the caller, determines the route and its terms, and
 * checks the services on the call path and the organisation's rate limit for room.
 */
#include "exchange_int.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "bufbound.h"
#include "retryafter.h"
#include "credential.h"
#include "log.h"
#include "longruns.h"
#include "stopplan.h"
#include "xalloc.h"

/* deadline of a request if neither the caller nor the route sets one, ms */
#define DEADLINE_DEFAULT_MS 30000
/* extra time for the server's answer at the deadline, ms */
#define TIMEOUT_MARGIN_MS 15
/*
 * A node whose last store update is older than this, in ms, cannot distinguish an invalid API key
 * from a new one. As callers do not retry a request after a 401, such a node answers 503 with a
 * retry-after delay instead.
 */
#define KEYS_STALE_MS 2500

/* Result of identifying the sender of a request. */
typedef enum lw_identity {
	LW_IDENTITY_KNOWN, /* an organisation, or none where none is required */
	LW_IDENTITY_UNKNOWN, /* no API key, or an unknown one */
	LW_IDENTITY_UNSURE, /* no API key or an unknown one, but this node's keys may be stale */
	LW_IDENTITY_AMBIGUOUS, /* two API keys */
} lw_identity_t;

static uint32_t read_deadline_ms(const lw_httphead_t *h)
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

static void set_times(lw_exchange_t *x, const lw_exchange_request_t *req, uint32_t timeout_ms)
{
	uint64_t now = x->engine->evloop->now_us;
	uint32_t deadline = read_deadline_ms(req->head);
	uint32_t give_up;

	if (!deadline)
		deadline = timeout_ms ? timeout_ms : DEADLINE_DEFAULT_MS;
	give_up = timeout_ms && timeout_ms < deadline ? timeout_ms : deadline;
	x->started_us = now;
	x->target_us = now + (uint64_t)x->target_ms * 1000;
	x->deadline_us = now + (uint64_t)deadline * 1000;
	x->deadline_us -=
		req->late_us < (uint64_t)deadline * 1000 ? req->late_us : (uint64_t)deadline * 1000;
	x->give_up_us = now + (uint64_t)give_up * 1000;
	if (x->give_up_us > x->deadline_us)
		x->give_up_us = x->deadline_us;
	ev_timer_init(&x->timer, lw_exchange_on_timeout,
		      (lw_exchange_remaining_ms(x, x->give_up_us) + TIMEOUT_MARGIN_MS) / 1000.0, 0);
	x->timer.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->timer);
}

/*
 * composes the head to forward; API keys are removed, and the header that names the organisation
 * is taken from this node alone, not from the sender
 */
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
 * Detects nested calls: calls that the backend server on this host makes for a request that it
 * executes. Callers and the backend server share the host's address, so only the request id
 * distinguishes them: backend servers build the id of a nested call from the parent's id, a dot
 * and a suffix. If the parent is unknown, because this process started after the parent arrived,
 * the call is ranked by its route.
 */
static void find_parent(lw_exchange_t *x, lw_gate_parent_t *parent)
{
	const char *dot = strrchr(x->request_id, '.');

	if (!dot)
		return;
	for (const char *p = x->request_id; *p; p++)
		x->call_depth += *p == '.';
	x->parent_id = (lw_str_t){ x->request_id, (size_t)(dot - x->request_id) };
	x->nested = true;
	x->attempts.nested = true;
	if (!lw_gate_parent(&x->engine->gate, x->parent_id, parent))
		x->parent_id.len = 0;
}

/*
 * A request with the key of an organisation is that of a caller: calls carry no key. If its id has a
 * dot, it would otherwise count as a call and escape the limit of its organisation and the admission
 * that callers are subject to.
 */
static void clear_parent(lw_exchange_t *x)
{
	x->call_depth = 0;
	x->parent_id.len = 0;
	x->nested = false;
	x->attempts.nested = false;
}

static lw_identity_t unknown_or_unsure(const lw_engine_t *e)
{
	return e->news_age_ms && e->news_age_ms(e->ctx) > KEYS_STALE_MS ? LW_IDENTITY_UNSURE :
									  LW_IDENTITY_UNKNOWN;
}

/* identifies the sender; @org: NULL for nested calls with a known parent and for open routes */
static lw_identity_t identify(const lw_exchange_t *x, const lw_httphead_t *h,
			      const lw_fleet_route_t *r, const lw_organisation_t **org)
{
	const lw_engine_t *e = x->engine;
	lw_str_t key;

	*org = NULL;
	if (!e->conf->orgs || r->open)
		return LW_IDENTITY_KNOWN;
	switch (lw_credential_read(h, e->evloop->names->credential_scheme, &key)) {
	case LW_CREDENTIAL_DUPLICATE:
		return LW_IDENTITY_AMBIGUOUS;
	case LW_CREDENTIAL_KEY:
		*org = lw_orgs_by_key(e->conf->orgs, key);
		return *org ? LW_IDENTITY_KNOWN : unknown_or_unsure(e);
	case LW_CREDENTIAL_NONE:
		return x->parent_id.len ? LW_IDENTITY_KNOWN : unknown_or_unsure(e);
	default:
		return LW_IDENTITY_UNKNOWN;
	}
}

/* applies the terms of the route in the current configuration */
static void apply_route(lw_exchange_t *x, const lw_exchange_request_t *req, lw_fleet_route_t *r,
			const lw_organisation_t *org)
{
	lw_engine_t *e = x->engine;
	uint32_t priority = lw_fleetconf_priority(e->conf, org, r);

	x->route = r->name;
	x->stat = lw_routestats_get(&e->routes, x->route);
	x->priority = r->priority;
	x->rank = lw_rank(priority, lw_str_c(x->request_id));
	x->target_ms = r->target_ms;
	x->attempts.idempotent = r->idempotent;
	x->attempts.max_reached = r->max_attempts;
	x->service = lw_place_service(&e->place, lw_fleet_route_next(r));
	if (org) {
		x->org = org->name;
		x->org_id = org->id;
	}
	set_times(x, req, r->timeout_ms);
}

/* answers a request that has no route or terms yet */
static void reject_early(lw_exchange_t *x, uint32_t status, const char *why,
			 uint32_t retry_after_ms)
{
	lw_reply_t *reply = x->reply;

	lw_exchange_release(x);
	reply->ops->local_answer(reply, status, why, retry_after_ms);
}

static void reject_unidentified(lw_exchange_t *x, lw_identity_t who, const lw_fleet_route_t *r)
{
	lw_engine_t *e = x->engine;
	uint32_t news_ms = e->news_age_ms ? e->news_age_ms(e->ctx) : 0;

	e->stats.not_identified++;
	lw_exchange_count_lost(x, LW_LOSS_NOT_IDENTIFIED);
	lw_log(LW_LOG_not_identified, "id=%s route=%s config=%llu news_age_ms=%u why=%s",
	       x->request_id, r->name, (unsigned long long)e->conf->version, news_ms,
	       who == LW_IDENTITY_AMBIGUOUS ? "two_keys" :
	       who == LW_IDENTITY_UNSURE    ? "keys_old" :
					      "unknown_key");
	if (who == LW_IDENTITY_AMBIGUOUS)
		reject_early(x, 400, "two_keys", 0);
	else if (who == LW_IDENTITY_UNSURE)
		reject_early(x, 503, "keys_old", LW_RETRY_AFTER_DEFAULT_MS);
	else
		reject_early(x, 401, "unknown_key", 0);
}

/* returns false if the request was refused, as a service on its call path is overloaded */
static bool path_admits(lw_exchange_t *x, const lw_organisation_t *org)
{
	lw_engine_t *e = x->engine;
	lw_service_level_t hot;

	if (org) {
		lw_fairshare_count(e->fairshare, org->id, e->evloop->now_us);
		x->rank = lw_fairshare_rank(e->fairshare, org->id, x->rank);
	}
	x->rank = lw_overload_weighted_rank(e->overload, x->route, x->rank, e->evloop->now_us);
	if (lw_overload_admits(e->overload, x->route, x->rank, e->evloop->now_us, &hot))
		return true;
	lw_log(LW_LOG_path_busy, "id=%s route=%s org=%s service=%s rank=%u by=%s level=%u",
	       x->request_id, x->route, lw_exchange_org(x), x->service->name, x->rank, hot.service,
	       hot.level);
	x->rate_limited = lw_place_has_rate_limit(&e->place, hot.service, e->evloop->now_us);
	if (org)
		lw_quota_count_shed(e->quota, org, e->evloop->now_us);
	lw_exchange_refuse(x, LW_FAIL_PATH_BUSY);
	return false;
}

/* returns false if the request was refused, as its organisation is at its rate limit */
static bool limit_admits(lw_exchange_t *x, const lw_organisation_t *org)
{
	lw_engine_t *e = x->engine;
	lw_quota_decision_t v;

	lw_quota_admit(e->quota, org, e->evloop->now_us, &v);
	x->quota_counted = v.admitted;
	if (v.admitted)
		return true;
	lw_log(LW_LOG_over_limit,
	       "id=%s route=%s org=%s service=%s rate=%.0f admit_permille=%u alone=%d news_ms=%u",
	       x->request_id, x->route, lw_exchange_org(x), x->service->name, org->rate_per_s,
	       v.admit_permille, v.standalone, v.grant_age_ms);
	x->min_retry_after_ms = v.room_ms;
	lw_exchange_refuse(x, LW_FAIL_OVER_LIMIT);
	return false;
}

/*
 * lw_exchange_outlasts_exit() - whether this process is likely to exit before the request has its
 * answer, by what the answers to its kind of work have shown; @begun: a server has received a part
 * of its body. Nested calls are not refused, as the work that makes them fails with them.
 */
bool lw_exchange_outlasts_exit(const lw_exchange_t *x, bool begun)
{
	const lw_engine_t *e = x->engine;
	uint64_t now_us = e->evloop->now_us;
	uint64_t exit_us = e->evloop->exit_us;
	uint32_t longest_us = lw_longruns_get(&e->longruns, lw_worktime_kind(x->route), now_us);
	lw_stopwork_t work = {
		.left_us = exit_us > now_us ? exit_us - now_us : 0,
		.deadline_us = (uint64_t)lw_exchange_remaining_ms(x, x->give_up_us) * 1000,
		.longest_us = longest_us,
		.known = longest_us > 0,
		.idempotent = x->attempts.idempotent,
		.begun = begun,
	};

	return exit_us && !x->parent_id.len && lw_stopplan_judge(&work).basis == LW_STOPBASIS_NONE;
}

/* returns false if the request was refused */
static bool admit(lw_exchange_t *x, const lw_organisation_t *org)
{
	if ((x->engine->evloop->callers_refused && !x->parent_id.len) ||
	    lw_exchange_outlasts_exit(x, false)) {
		lw_exchange_refuse(x, LW_FAIL_LEAVING);
		return false;
	}
	if (!x->parent_id.len &&
	    !lw_bufbound_admits(x->engine->evloop->set->memory_mb, x->body_length)) {
		x->engine->stats.no_buffers++;
		lw_exchange_refuse(x, LW_FAIL_BUSY);
		return false;
	}
	if (x->nested)
		return true;
	return path_admits(x, org) && (!org || limit_admits(x, org));
}

/* returns false if the request was answered, as it has no route or its sender was not identified */
static bool resolve_route(lw_exchange_t *x, const lw_exchange_request_t *req,
			  const lw_organisation_t **org)
{
	lw_engine_t *e = x->engine;
	lw_gate_parent_t parent = { 0 };
	lw_fleet_route_t *r;
	lw_identity_t who;

	if (!e->conf) {
		e->stats.no_config++;
		lw_exchange_count_lost(x, LW_LOSS_NO_CONFIG);
		reject_early(x, 503, "starting", LW_RETRY_AFTER_DEFAULT_MS);
		return false;
	}
	r = lw_fleetconf_match(e->conf, req->head->host, req->head->target);
	if (!r || !r->nsplits) {
		e->stats.no_route++;
		lw_exchange_count_lost(x, LW_LOSS_NO_ROUTE);
		reject_early(x, 404, "no_route", 0);
		return false;
	}
	find_parent(x, &parent);
	who = identify(x, req->head, r, org);
	if (who != LW_IDENTITY_KNOWN) {
		reject_unidentified(x, who, r);
		return false;
	}
	if (*org)
		clear_parent(x);
	apply_route(x, req, r, *org);
	e->stats.nested += x->nested;
	if (x->parent_id.len) {
		x->rank = parent.rank;
		x->repeat = parent.repeat;
		x->target_us = parent.target_us;
	}
	return true;
}

/*
 * lw_exchange_start() - accept a request. The caller of this function adds the part of the body
 * that has arrived and then calls lw_exchange_send(). Returns NULL if the request has already been
 * answered.
 */
lw_exchange_t *lw_exchange_start(lw_engine_t *e, lw_reply_t *reply,
				 const lw_exchange_request_t *req)
{
	lw_exchange_t *x = xcalloc(1, sizeof(*x));
	const lw_organisation_t *org;

	x->sink.ops = &lw_exchange_sink_ops;
	x->engine = e;
	x->reply = reply;
	x->route = x->last_server = x->org = lw_name_none;
	x->body_length = req->body_length;
	x->fin = req->body_length == 0;
	x->request_id = lw_str_dup(lw_httphead_find(req->head, LW_HEADER_REQUEST_ID));
	ev_timer_init(&x->timer, lw_exchange_on_timeout, 0, 0);
	ev_timer_init(&x->hold, lw_exchange_on_hold_timer, 0, 0);
	ev_timer_init(&x->stall, lw_exchange_on_stall_timer, 0, 0);
	e->active++;
	DL_APPEND(e->exchanges, x);
	e->stats.requests++;
	if (!resolve_route(x, req, &org) || !admit(x, org))
		return NULL;
	compose_head(x, req->head);
	lw_retrylimit_count_request(&x->service->retries, &e->place.retry_allowance, x->rank,
				    e->evloop->now_us);
	if (x->repeat)
		lw_retrylimit_count_retry(&x->service->retries, &e->place.retry_allowance,
					  e->evloop->now_us);
	return x;
}
