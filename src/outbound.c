/*
 * The outbound path: calls of the local backend server to other services. Each attempt goes
 * over a peer connection to the node chosen by the reducer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "linux/clock.h"
#include "log.h"
#include "node_int.h"
#include "xalloc.h"

#define LOOKUP_MS 200 /* timeout for querying one node's record of a key */

static void fail_to_event(lw_pool_fail_t f, lw_event_t *ev)
{
	switch (f) {
	case LW_POOL_OK:
		break;
	case LW_POOL_CONNECT:
	case LW_POOL_WRITE:
		ev->outcome = LW_NOT_RUN;
		ev->reason = LW_R_NO_BACKEND;
		break;
	case LW_POOL_NOT_RECEIVED:
		ev->outcome = LW_NOT_RUN;
		ev->reason = LW_R_NOT_RECEIVED;
		break;
	case LW_POOL_TIMEOUT:
	case LW_POOL_BROKEN:
		ev->outcome = LW_UNKNOWN;
		ev->reason = LW_R_TIMEOUT;
		break;
	}
}

static const char *fail_name(lw_pool_fail_t f)
{
	static const char *const names[] = { "ok",	     "not_connected", "not_written",
					     "not_received", "silent",	      "connection_broken" };

	return names[f];
}

static void reply_to_event(const Lw__Reply *r, lw_event_t *ev)
{
	ev->outcome = (unsigned)r->outcome <= LW_UNKNOWN ? (lw_outcome_t)r->outcome : LW_UNKNOWN;
	ev->reason = (unsigned)r->reason < LW_R_COUNT ? (lw_reason_t)r->reason : LW_R_NONE;
	ev->reached = true;
	ev->server_error = r->status >= 500;
	ev->draining = r->draining;
	ev->incarnation = r->incarnation;
	ev->load_permille = r->load_permille;
	ev->no_retry = r->no_retry;
	ev->retries_used = r->retries_used;
}

static lw_answer_t *copy_answer(ProtobufCBinaryData *body, uint32_t status, uint32_t retries_used)
{
	char *copy = xstrndup(body->data ? (const char *)body->data : "", body->len);

	return lw_answer_new(1, (int)status, copy, body->len, retries_used);
}

/* makes one attempt of @rq at the peer chosen by the reducer; fills @ev */
static void attempt(lw_node_t *n, const lw_call_t *c, const lw_pool_call_t *to,
		    const lw_request_t *rq, uint64_t deadline_at, lw_event_t *ev,
		    lw_answer_t **answer)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__Request r = LW__REQUEST__INIT;
	Lw__Frame *reply = NULL;
	uint64_t now = lw_now_ms();
	lw_pool_fail_t fail;

	r.request_id = c->id << 8 | (c->attempt & 0xff);
	r.deadline_ms = deadline_at > now ? (uint32_t)(deadline_at - now) : 1;
	r.class_ = (Lw__Class)rq->cls;
	r.retry_budget = c->retry_budget;
	r.attempt = c->attempt;
	r.idempotency_key = (char *)rq->idem_key;
	r.route = (char *)rq->route;
	r.trace_id = (char *)rq->user_id;
	r.repeat = rq->repeat;
	r.depth = c->depth;
	r.sender = n->set.advertise;
	r.sender_incarnation = n->incarnation;
	r.config_version = __atomic_load_n(&n->policy->info.config_version, __ATOMIC_RELAXED);
	r.body.data = (uint8_t *)rq->body.ptr;
	r.body.len = rq->body.len;
	f.body_case = LW__FRAME__BODY_REQUEST;
	f.request = &r;
	fail = lw_pool_call(n->pool, to, &f, &reply);
	ev->latency_ms = (uint32_t)(lw_now_ms() - now);
	if (fail) {
		fail_to_event(fail, ev);
		lw_log(LW_LOG_request_timeout,
		       "call=%llu attempt=%u peer=%s request=%s met=%s outcome=%s after_ms=%u",
		       (unsigned long long)c->id, c->attempt, to->addr, rq->user_id,
		       fail_name(fail), lw_outcome_name(ev->outcome), ev->latency_ms);
		return;
	}
	reply_to_event(reply->reply, ev);
	lw_confwatch_peer_has(n, to->addr, reply->reply->config_version);
	if (ev->outcome == LW_DONE) {
		lw_answer_unref(*answer);
		*answer = copy_answer(&reply->reply->body, reply->reply->status,
				      reply->reply->retries_used);
	}
	lw_frame_free(reply);
}

static void open_event(const lw_call_t *c, int service, const lw_request_t *rq, lw_event_t *ev)
{
	ev->kind = LW_EV_OUT_REQUEST;
	ev->id = c->id;
	ev->service = (uint32_t)service;
	ev->cls = rq->cls;
	ev->idempotent = rq->idempotent;
	ev->deadline_ms = rq->deadline_ms;
	ev->retry_budget = rq->retry_budget;
	ev->parent = rq->parent;
}

/* executes the reducer's SEND effects until it returns an answer; lock held */
static void run_attempts(lw_node_t *n, lw_call_t *c, const lw_request_t *rq, uint64_t deadline_at,
			 lw_answer_t **answer)
{
	while (c->state == LW_CALL_SEND) {
		lw_event_t ev = { .kind = LW_EV_OUT_REPLY, .id = c->id, .peer = c->peer };
		const lw_peer_t *p = lw_peerset_get(n->policy->info.peers, c->peer);
		char addr[LW_NAME_MAX];
		lw_pool_call_t to = { .addr = addr,
				      .timeout_ms = (int)c->timeout_ms,
				      .probe_ms = (int)c->probe_ms,
				      .incarnation = p->incarnation };

		memcpy(addr, p->addr, sizeof(addr));
		c->state = LW_CALL_WAIT;
		pthread_mutex_unlock(&n->lock);
		attempt(n, c, &to, rq, deadline_at, &ev, answer);
		pthread_mutex_lock(&n->lock);
		lw_node_step(n, &ev);
	}
}

/*
 * lw_outbound_serve() - calls @service with @rq for the local backend server. A @res with
 * outcome done holds a reference to the answer.
 */
void lw_outbound_serve(lw_node_t *n, const char *service, const lw_request_t *rq, lw_result_t *res)
{
	lw_event_t ev = { 0 };
	lw_answer_t *answer = NULL;
	uint64_t deadline_at = lw_now_ms() + rq->deadline_ms;
	lw_call_t c;
	int svc;

	pthread_mutex_lock(&n->lock);
	lw_node_call_open(n, &c);
	svc = lw_peerset_service(n->policy->info.peers, service);
	if (svc < 0) {
		c.res.outcome = LW_NOT_RUN;
		c.res.reason = LW_R_NO_BACKEND;
	} else {
		open_event(&c, svc, rq, &ev);
		lw_node_step(n, &ev);
		run_attempts(n, &c, rq, deadline_at, &answer);
	}
	lw_node_call_close(n, &c);
	pthread_mutex_unlock(&n->lock);
	*res = c.res;
	if (res->outcome == LW_DONE) {
		res->answer = answer;
		answer = NULL;
	}
	lw_answer_unref(answer);
	lw_counter_add(n->count.outbound[res->outcome], 1);
}

static bool query_record(lw_node_t *n, const char *addr, const lw_request_t *rq,
			 lw_answer_t **answer)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__Query q = LW__QUERY__INIT;
	Lw__Frame *reply;
	bool found;

	q.route = (char *)rq->route;
	q.idempotency_key = (char *)rq->idem_key;
	f.body_case = LW__FRAME__BODY_QUERY;
	f.query = &q;
	if (!lw_pool_request(n->pool, addr, &f, LOOKUP_MS, true, &reply))
		return false;
	found = reply->body_case == LW__FRAME__BODY_RECORD && reply->record->has_answer;
	if (found)
		*answer = copy_answer(&reply->record->body, reply->record->status,
				      reply->record->retries_used);
	lw_frame_free(reply);
	return found;
}

static char (*service_addrs(lw_node_t *n, size_t *count))[LW_NAME_MAX]
{
	const lw_peerset_t *ps = n->policy->info.peers;
	int svc;
	char(*addrs)[LW_NAME_MAX];

	*count = 0;
	pthread_mutex_lock(&n->lock);
	svc = lw_peerset_service(ps, n->set.service);
	addrs = xcalloc(lw_peerset_count(ps), sizeof(*addrs));
	for (size_t i = 0; i < lw_peerset_count(ps); i++) {
		const lw_peer_t *p = lw_peerset_get(ps, (int)i);

		if (p->listed && (int)p->service == svc && strcmp(p->addr, n->set.advertise) != 0)
			memcpy(addrs[(*count)++], p->addr, LW_NAME_MAX);
	}
	pthread_mutex_unlock(&n->lock);
	return addrs;
}

/*
 * lw_outbound_lookup() - asks the other nodes of this service for the stored answer of
 * @rq's idempotency key; true with a reference in *@answer. Draining peers are asked too,
 * as they may have executed the request.
 */
bool lw_outbound_lookup(lw_node_t *n, const lw_request_t *rq, lw_answer_t **answer)
{
	uint64_t until = lw_now_ms() + rq->deadline_ms;
	size_t count;
	char(*addrs)[LW_NAME_MAX] = service_addrs(n, &count);
	bool found = false;

	for (size_t i = 0; i < count && !found && lw_now_ms() < until; i++)
		found = query_record(n, addrs[i], rq, answer);
	free(addrs);
	return found;
}
