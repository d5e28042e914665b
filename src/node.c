/*
 * The node shell. Every request is served by the thread that received it:
 * it feeds events to the reducer under the node lock, then carries out the
 * effects addressed to it (call the backend, send to a peer, answer) and
 * waits on its condition variable while the reducer holds it queued.
 */
#include "node.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "counter.h"
#include "httpc.h"
#include "httpd.h"
#include "linux/clock.h"
#include "linux/sock.h"
#include "log.h"
#include "policy.h"
#include "pool.h"
#include "timer.h"
#include "xalloc.h"

#define NODE_TICK_MS		 5
#define NODE_HEARTBEAT_MS	 500
#define NODE_PING_TIMEOUT_MS	 300
#define NODE_WATCH_WAIT_MS	 5000
#define NODE_DEFAULT_DEADLINE_MS 2000

typedef struct answer {
	int refs;
	int status;
	char *body;
	size_t len;
	uint32_t retries_used;
} answer_t;

typedef enum call_state {
	CALL_WAIT,
	CALL_ADMITTED,
	CALL_SEND,
	CALL_ANSWERED,
} call_state_t;

/* the reducer's verdict on one request, filled in by the effects */
typedef struct result {
	lw_outcome_t outcome;
	lw_reason_t reason;
	uint32_t retry_after_ms;
	uint32_t retries_used;
	bool no_retry;
	answer_t *answer; /* DONE: a reference the holder releases */
} result_t;

typedef struct call {
	uint64_t id;
	call_state_t state;
	pthread_cond_t cond;
	result_t res;
	int peer;
	uint32_t attempt, timeout_ms, retry_budget;
	struct call *next;
} call_t;

typedef struct request {
	char route[LW_NAME_MAX * 2];
	lw_class_t cls;
	bool idempotent;
	uint32_t deadline_ms;
	uint32_t retry_budget;
	char idem_key[LW_NAME_MAX * 2];
	char user_id[LW_NAME_MAX];
	lw_str_t body;
} request_t;

struct lw_node {
	lw_settings_t set;
	pthread_mutex_t lock;
	pthread_cond_t exit_cond;
	lw_policy_t *policy;
	call_t *calls;
	uint64_t next_id;
	lw_platconf_t *config; /* RCU-protected; swapped whole */
	lw_pool_t *pool;
	lw_timer_t *timer;
	lw_httpd_t *http, *admin;
	int peer_fd;
	pthread_t peer_thread, watch_thread;
	int stopping;
	bool exit_ready;
	bool backend_down;
	lw_counter_t *answers[LW_CLASS_COUNT][3];
	lw_counter_t *outbound[3];
	lw_counter_t *late_replies;
};

static __thread lw_httpc_t *tl_backend;

static answer_t *answer_ref(answer_t *a)
{
	if (a)
		a->refs++; /* under the node lock */
	return a;
}

static void answer_unref(lw_node_t *n, answer_t *a)
{
	bool last;

	if (!a)
		return;
	pthread_mutex_lock(&n->lock);
	last = --a->refs == 0;
	pthread_mutex_unlock(&n->lock);
	if (last) {
		free(a->body);
		free(a);
	}
}

static call_t *call_find(lw_node_t *n, uint64_t id)
{
	for (call_t *c = n->calls; c; c = c->next)
		if (c->id == id)
			return c;
	return NULL;
}

static void call_link(lw_node_t *n, call_t *c)
{
	memset(c, 0, sizeof(*c));
	c->id = ++n->next_id;
	c->state = CALL_WAIT;
	pthread_cond_init(&c->cond, NULL);
	c->next = n->calls;
	n->calls = c;
}

static void call_unlink(lw_node_t *n, call_t *c)
{
	for (call_t **pp = &n->calls; *pp; pp = &(*pp)->next)
		if (*pp == c) {
			*pp = c->next;
			break;
		}
	pthread_cond_destroy(&c->cond);
}

static void log_effect(lw_node_t *n, const lw_effect_t *fx)
{
	const lw_policy_info_t *in = &n->policy->info;
	const char *peer = fx->a >= 0 && (size_t)fx->a < in->npeers ? in->peers[fx->a].addr : "?";

	switch (fx->log_id) {
	case LW_LOG_peer_suspected:
	case LW_LOG_peer_recovered:
	case LW_LOG_peer_draining:
		lw_log((lw_event_id_t)fx->log_id, "peer=%s fails=%lld", peer, (long long)fx->b);
		break;
	case LW_LOG_late_reply_dropped:
		lw_counter_add(n->late_replies, 1);
		lw_log(LW_LOG_late_reply_dropped, "call=%lld peer=%lld", (long long)fx->a,
		       (long long)fx->b);
		break;
	default:
		lw_log((lw_event_id_t)fx->log_id, "a=%lld b=%lld", (long long)fx->a,
		       (long long)fx->b);
	}
}

/* Carry out the effects that concern other threads; called with the lock held. */
static void apply(lw_node_t *n, const lw_effects_t *fx)
{
	for (size_t i = 0; i < fx->n; i++) {
		const lw_effect_t *e = &fx->fx[i];
		call_t *c = e->kind <= LW_FX_SEND ? call_find(n, e->id) : NULL;

		switch (e->kind) {
		case LW_FX_ADMIT:
			if (c)
				c->state = CALL_ADMITTED;
			break;
		case LW_FX_QUEUE:
			break;
		case LW_FX_ANSWER:
		case LW_FX_REPLAY:
			if (!c)
				break;
			c->state = CALL_ANSWERED;
			c->res.outcome = e->kind == LW_FX_REPLAY ? LW_DONE : e->outcome;
			c->res.reason = e->reason;
			c->res.retry_after_ms = e->retry_after_ms;
			c->res.retries_used = e->retries_used;
			c->res.no_retry = e->no_retry;
			if (e->kind == LW_FX_REPLAY) {
				c->res.answer = answer_ref(e->answer);
				c->res.retries_used = ((answer_t *)e->answer)->retries_used;
			}
			break;
		case LW_FX_SEND:
			if (!c)
				break;
			c->state = CALL_SEND;
			c->peer = e->peer;
			c->attempt = e->attempt;
			c->timeout_ms = e->timeout_ms;
			c->retry_budget = e->retry_budget;
			break;
		case LW_FX_RELEASE: {
			answer_t *a = e->answer;

			if (a && --a->refs == 0) {
				free(a->body);
				free(a);
			}
			break;
		}
		case LW_FX_LOG:
			log_effect(n, e);
			break;
		case LW_FX_EXIT:
			n->exit_ready = true;
			pthread_cond_broadcast(&n->exit_cond);
			break;
		}
		if (c)
			pthread_cond_signal(&c->cond);
	}
}

static void step(lw_node_t *n, lw_event_t *ev)
{
	lw_effects_t fx = { 0 };

	ev->now_ms = lw_now_ms();
	n->policy->ops->step(n->policy, ev, &fx);
	apply(n, &fx);
	lw_effects_free(&fx);
}

static void wait_turn(lw_node_t *n, call_t *c)
{
	while (c->state == CALL_WAIT)
		pthread_cond_wait(&c->cond, &n->lock);
}

static lw_outcome_t outcome_parse(const char *s)
{
	if (strcmp(s, "not_run") == 0)
		return LW_NOT_RUN;
	if (strcmp(s, "unknown") == 0)
		return LW_UNKNOWN;
	return LW_DONE;
}

static lw_reason_t reason_parse(const char *s)
{
	for (int r = LW_R_NONE; r <= LW_R_TIMEOUT; r++)
		if (strcmp(s, lw_reason_name((lw_reason_t)r)) == 0)
			return (lw_reason_t)r;
	return LW_R_NONE;
}

/* Run @rq on the local backend server; fills @ev's outcome and answer. */
static void call_backend(lw_node_t *n, const request_t *rq, uint64_t started, lw_event_t *ev)
{
	lw_http_hdr_t h[5] = { { "X-LW-Deadline-Ms", "" },
			       { "X-LW-Retry-Budget", "" },
			       { "X-LW-Idempotency-Key", "" },
			       { "X-LW-Request-Id", "" },
			       { "X-LW-Class", "" } };
	uint64_t now = lw_now_ms();
	uint32_t left =
		started + rq->deadline_ms > now ? (uint32_t)(started + rq->deadline_ms - now) : 1;
	char path[LW_NAME_MAX * 2 + 8];
	const char *name = strchr(rq->route, '/');
	lw_http_reply_t r;

	if (!tl_backend)
		tl_backend = lw_httpc_new(n->set.backend);
	snprintf(h[0].value, sizeof(h[0].value), "%u", left);
	snprintf(h[1].value, sizeof(h[1].value), "%u", rq->retry_budget);
	snprintf(h[2].value, sizeof(h[2].value), "%s", rq->idem_key);
	snprintf(h[3].value, sizeof(h[3].value), "%s", rq->user_id);
	snprintf(h[4].value, sizeof(h[4].value), "%s", lw_class_name(rq->cls));
	snprintf(path, sizeof(path), "%s", name ? name : "/");
	lw_httpc_call(tl_backend, "POST", path, h, 5, rq->body, (int)left, rq->idempotent, &r);
	ev->latency_ms = (uint32_t)(lw_now_ms() - now);
	if (r.fail == LW_HTTPC_CONNECT) {
		ev->outcome = LW_NOT_RUN;
		ev->reason = LW_R_BACKEND_ERROR;
		if (!n->backend_down)
			lw_log(LW_LOG_backend_error, "backend=%s", n->set.backend);
		n->backend_down = true;
	} else if (r.fail) {
		ev->outcome = LW_UNKNOWN;
		ev->reason = LW_R_TIMEOUT;
	} else {
		n->backend_down = false;
		ev->outcome = outcome_parse(r.outcome);
		ev->reason = reason_parse(r.reason);
		ev->retries_used = r.retries_used;
	}
	if (ev->outcome == LW_DONE) {
		answer_t *a = xcalloc(1, sizeof(*a));

		a->refs = 2; /* one for the reducer's dedup store, one for us */
		a->status = r.status;
		a->body = r.body;
		a->len = r.len;
		a->retries_used = r.retries_used;
		r.body = NULL;
		ev->answer = a;
	}
	free(r.body);
}

static void route_lookup(lw_node_t *n, request_t *rq)
{
	const lw_route_t *r;

	rcu_read_lock();
	r = lw_platconf_route(rcu_dereference(n->config), lw_str_c(rq->route));
	rq->cls = r ? r->cls : LW_CLASS_DEFAULT;
	rq->idempotent = r ? r->idempotent : true;
	rcu_read_unlock();
}

/*
 * The inbound path: a caller or a peer asks this node's backend server.
 * Returns with @res filled; a DONE result holds an answer reference.
 */
static void node_inbound(lw_node_t *n, const request_t *rq, result_t *res)
{
	lw_event_t ev = { .kind = LW_EV_IN_REQUEST };
	call_t c;
	uint64_t started = lw_now_ms();

	pthread_mutex_lock(&n->lock);
	call_link(n, &c);
	ev.id = c.id;
	ev.cls = rq->cls;
	ev.deadline_ms = rq->deadline_ms;
	ev.idem_key = rq->idem_key[0] ? XXH64(rq->idem_key, strlen(rq->idem_key), 1) : 0;
	step(n, &ev);
	wait_turn(n, &c);
	if (c.state == CALL_ADMITTED) {
		lw_event_t done = { .kind = LW_EV_IN_DONE, .id = c.id };

		pthread_mutex_unlock(&n->lock);
		call_backend(n, rq, started, &done);
		pthread_mutex_lock(&n->lock);
		c.res.outcome = done.outcome;
		c.res.reason = done.reason;
		c.res.retries_used = done.retries_used;
		c.res.answer = done.answer;
		c.res.retry_after_ms = done.outcome == LW_DONE ? 0 : 100;
		/* the backend shed it or is gone: callers above should not pile on */
		c.res.no_retry = done.outcome != LW_DONE && done.reason == LW_R_OVERLOADED;
		step(n, &done);
	}
	call_unlink(n, &c);
	pthread_mutex_unlock(&n->lock);
	*res = c.res;
	lw_counter_add(n->answers[rq->cls][res->outcome], 1);
}

static void pool_to_event(lw_pool_fail_t f, const Lw__Frame *reply, lw_event_t *ev)
{
	switch (f) {
	case LW_POOL_OK:
		ev->outcome = (lw_outcome_t)reply->reply->outcome;
		ev->reason = (lw_reason_t)reply->reply->reason;
		ev->draining = reply->reply->draining;
		ev->load_permille = reply->reply->load_permille;
		ev->no_retry = reply->reply->no_retry;
		ev->retries_used = reply->reply->retries_used;
		break;
	case LW_POOL_CONNECT:
	case LW_POOL_WRITE:
		ev->outcome = LW_NOT_RUN;
		ev->reason = LW_R_NO_BACKEND;
		break;
	case LW_POOL_TIMEOUT:
	case LW_POOL_BROKEN:
		ev->outcome = LW_UNKNOWN;
		ev->reason = LW_R_TIMEOUT;
		break;
	}
}

/* Send one attempt of @rq to the peer the reducer chose; fills @ev. */
static void send_attempt(lw_node_t *n, const call_t *c, const char *addr, const request_t *rq,
			 uint64_t started, lw_event_t *ev, answer_t **answer)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__Request r = LW__REQUEST__INIT;
	Lw__Frame *reply = NULL;
	uint64_t now = lw_now_ms();
	lw_pool_fail_t fail;

	r.request_id = c->id << 8 | (c->attempt & 0xff);
	r.deadline_ms =
		started + rq->deadline_ms > now ? (uint32_t)(started + rq->deadline_ms - now) : 1;
	r.class_ = (Lw__Class)rq->cls;
	r.retry_budget = c->retry_budget;
	r.attempt = c->attempt;
	r.idempotency_key = (char *)rq->idem_key;
	r.route = (char *)rq->route;
	r.trace_id = (char *)rq->user_id;
	r.config_version = n->policy->info.config_version;
	r.body.data = (uint8_t *)rq->body.ptr;
	r.body.len = rq->body.len;
	f.body_case = LW__FRAME__BODY_REQUEST;
	f.request = &r;
	fail = lw_pool_call(n->pool, addr, &f, (int)c->timeout_ms, &reply);
	ev->latency_ms = (uint32_t)(lw_now_ms() - now);
	pool_to_event(fail, reply, ev);
	if (fail == LW_POOL_OK && ev->outcome == LW_DONE) {
		answer_t *a = xcalloc(1, sizeof(*a));

		a->refs = 1;
		a->status = (int)reply->reply->status;
		a->body = xstrndup((const char *)reply->reply->body.data, reply->reply->body.len);
		a->len = reply->reply->body.len;
		a->retries_used = reply->reply->retries_used;
		if (*answer)
			answer_unref(n, *answer);
		*answer = a;
	}
	lw_frame_free(reply);
}

/* The outbound path: this node's backend server calls service @svc. */
static void node_outbound(lw_node_t *n, const char *svc, const request_t *rq, result_t *res)
{
	lw_event_t ev = { .kind = LW_EV_OUT_REQUEST };
	answer_t *answer = NULL;
	uint64_t started = lw_now_ms();
	call_t c;
	int sidx;

	pthread_mutex_lock(&n->lock);
	call_link(n, &c);
	sidx = lw_policy_service(n->policy, svc);
	if (sidx < 0) {
		c.state = CALL_ANSWERED;
		c.res.outcome = LW_NOT_RUN;
		c.res.reason = LW_R_NO_BACKEND;
	} else {
		ev.id = c.id;
		ev.service = (uint32_t)sidx;
		ev.cls = rq->cls;
		ev.idempotent = rq->idempotent;
		ev.deadline_ms = rq->deadline_ms;
		ev.retry_budget = rq->retry_budget;
		step(n, &ev);
	}
	for (;;) {
		wait_turn(n, &c);
		if (c.state != CALL_SEND)
			break;
		char addr[LW_NAME_MAX];
		lw_event_t rep = { .kind = LW_EV_OUT_REPLY, .id = c.id, .peer = c.peer };

		snprintf(addr, sizeof(addr), "%s", n->policy->info.peers[c.peer].addr);
		c.state = CALL_WAIT;
		pthread_mutex_unlock(&n->lock);
		send_attempt(n, &c, addr, rq, started, &rep, &answer);
		pthread_mutex_lock(&n->lock);
		step(n, &rep);
	}
	call_unlink(n, &c);
	pthread_mutex_unlock(&n->lock);
	*res = c.res;
	if (res->outcome == LW_DONE) {
		res->answer = answer;
		answer = NULL;
	}
	answer_unref(n, answer);
	lw_counter_add(n->outbound[res->outcome], 1);
}

static void result_to_http(lw_node_t *n, result_t *res, lw_http_resp_t *resp)
{
	lw_http_set_header(resp, "X-LW-Outcome", "%s", lw_outcome_name(res->outcome));
	lw_http_set_header(resp, "X-LW-Retries-Used", "%u", res->retries_used);
	if (res->outcome == LW_DONE && res->answer) {
		lw_http_reply(resp, res->answer->status, res->answer->body, res->answer->len);
		answer_unref(n, res->answer);
		return;
	}
	lw_http_set_header(resp, "X-LW-Reason", "%s", lw_reason_name(res->reason));
	lw_http_set_header(resp, "Retry-After", "%u", (res->retry_after_ms + 999) / 1000);
	lw_http_set_header(resp, "X-LW-Retry-After-Ms", "%u", res->retry_after_ms);
	if (res->no_retry)
		lw_http_set_header(resp, "X-LW-No-Retry", "1");
	lw_http_replyf(resp, res->outcome == LW_NOT_RUN ? 503 : 504, "%s %s\n",
		       lw_outcome_name(res->outcome), lw_reason_name(res->reason));
}

static uint32_t header_u32(const lw_http_req_t *req, const char *name, uint32_t dflt)
{
	const char *v = lw_http_header(req, name);

	return v ? (uint32_t)strtoul(v, NULL, 10) : dflt;
}

static void request_from_http(lw_node_t *n, const lw_http_req_t *req, const char *route,
			      request_t *rq)
{
	const char *key = lw_http_header(req, "X-LW-Idempotency-Key");
	const char *uid = lw_http_header(req, "X-LW-Request-Id");

	memset(rq, 0, sizeof(*rq));
	snprintf(rq->route, sizeof(rq->route), "%s", route);
	snprintf(rq->idem_key, sizeof(rq->idem_key), "%s", key ? key : "");
	snprintf(rq->user_id, sizeof(rq->user_id), "%s", uid ? uid : "");
	rq->deadline_ms = header_u32(req, "X-LW-Deadline-Ms", NODE_DEFAULT_DEADLINE_MS);
	rcu_read_lock();
	lw_platconf_t *pc = rcu_dereference(n->config);

	rq->retry_budget =
		header_u32(req, "X-LW-Retry-Budget", pc ? pc->in_force->retry_budget : 2);
	rcu_read_unlock();
	rq->body = req->body;
	route_lookup(n, rq);
}

/* HTTP from callers (/v1/call/NAME) and from the local backend (/v1/out/SVC/NAME). */
static void on_http(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	lw_node_t *n = ctx;
	request_t rq;
	result_t res;
	char route[LW_NAME_MAX * 2];

	if (strncmp(req->url, "/v1/call/", 9) == 0) {
		snprintf(route, sizeof(route), "%s/%s", n->set.service, req->url + 9);
		request_from_http(n, req, route, &rq);
		node_inbound(n, &rq, &res);
		result_to_http(n, &res, resp);
		return;
	}
	if (strncmp(req->url, "/v1/out/", 8) == 0 && strchr(req->url + 8, '/')) {
		char svc[LW_NAME_MAX];
		const char *slash = strchr(req->url + 8, '/');

		snprintf(svc, sizeof(svc), "%.*s", (int)(slash - (req->url + 8)), req->url + 8);
		request_from_http(n, req, req->url + 8, &rq);
		node_outbound(n, svc, &rq, &res);
		result_to_http(n, &res, resp);
		return;
	}
	lw_http_replyf(resp, 404, "unknown path %s; use /v1/call/NAME or /v1/out/SERVICE/NAME\n",
		       req->url);
}

static void serve_frame(lw_node_t *n, int fd, const Lw__Frame *f)
{
	Lw__Frame out = LW__FRAME__INIT;
	Lw__Reply rep = LW__REPLY__INIT;
	Lw__Ping pong = LW__PING__INIT;
	request_t rq;
	result_t res;

	if (f->body_case == LW__FRAME__BODY_PING) {
		pong.nonce = f->ping->nonce;
		pong.draining = n->policy->info.draining;
		pong.config_version = n->policy->info.config_version;
		out.body_case = LW__FRAME__BODY_PONG;
		out.pong = &pong;
		lw_frame_write(fd, &out);
		return;
	}
	if (f->body_case != LW__FRAME__BODY_REQUEST)
		return;
	memset(&rq, 0, sizeof(rq));
	snprintf(rq.route, sizeof(rq.route), "%s", f->request->route);
	snprintf(rq.idem_key, sizeof(rq.idem_key), "%s", f->request->idempotency_key);
	snprintf(rq.user_id, sizeof(rq.user_id), "%s", f->request->trace_id);
	rq.deadline_ms = f->request->deadline_ms;
	rq.retry_budget = f->request->retry_budget;
	rq.body = (lw_str_t){ (const char *)f->request->body.data, f->request->body.len };
	route_lookup(n, &rq);
	rq.cls = (lw_class_t)f->request->class_ < LW_CLASS_COUNT ? (lw_class_t)f->request->class_ :
								   rq.cls;
	node_inbound(n, &rq, &res);
	rep.request_id = f->request->request_id;
	rep.outcome = (Lw__Outcome)res.outcome;
	rep.reason = (Lw__Reason)res.reason;
	rep.retry_after_ms = res.retry_after_ms;
	rep.retries_used = res.retries_used;
	rep.no_retry = res.no_retry;
	rep.draining = n->policy->info.draining;
	rep.config_version = n->policy->info.config_version;
	rep.load_permille = (uint32_t)(1000.0 * n->policy->info.inflight /
				       (n->policy->info.limit > 0 ? n->policy->info.limit : 1));
	if (res.answer) {
		rep.status = (uint32_t)res.answer->status;
		rep.body.data = (uint8_t *)res.answer->body;
		rep.body.len = res.answer->len;
	}
	out.body_case = LW__FRAME__BODY_REPLY;
	out.reply = &rep;
	lw_frame_write(fd, &out);
	answer_unref(n, res.answer);
}

typedef struct conn_arg {
	lw_node_t *n;
	int fd;
} conn_arg_t;

static void *peer_conn_main(void *arg)
{
	conn_arg_t *ca = arg;
	Lw__Frame *f;

	while (!__atomic_load_n(&ca->n->stopping, __ATOMIC_RELAXED)) {
		lw_status_t st = lw_frame_read(ca->fd, 1000, &f);

		if (st == LW_ERR_IO && strstr(lw_error_last(), "sent nothing"))
			continue;
		if (st)
			break;
		serve_frame(ca->n, ca->fd, f);
		lw_frame_free(f);
	}
	close(ca->fd);
	free(ca);
	return NULL;
}

static void *peer_accept_main(void *arg)
{
	lw_node_t *n = arg;

	for (;;) {
		int fd = accept4(n->peer_fd, NULL, NULL, SOCK_CLOEXEC);
		pthread_t t;
		conn_arg_t *ca;

		if (fd < 0) {
			if (__atomic_load_n(&n->stopping, __ATOMIC_RELAXED))
				return NULL;
			continue;
		}
		ca = xmalloc(sizeof(*ca));
		ca->n = n;
		ca->fd = fd;
		pthread_create(&t, NULL, peer_conn_main, ca);
		pthread_detach(t);
	}
}

/*
 * Accept @pc if it is strictly newer than the configuration in force:
 * an older or equal version (a stale or lagging configuration service)
 * must never make a node go back. Takes ownership of @pc.
 */
static void config_offer(lw_node_t *n, lw_platconf_t *pc, const char *source)
{
	lw_platconf_t *old;
	lw_event_t ev = { .kind = LW_EV_CONFIG, .config = pc };

	pthread_mutex_lock(&n->lock);
	old = n->config;
	if (old && pc->version <= old->version) {
		pthread_mutex_unlock(&n->lock);
		lw_log(LW_LOG_config_not_newer, "version=%llu in_force=%llu source=%s",
		       (unsigned long long)pc->version, (unsigned long long)old->version, source);
		lw_platconf_free(pc);
		return;
	}
	rcu_assign_pointer(n->config, pc);
	step(n, &ev);
	pthread_mutex_unlock(&n->lock);
	lw_log(LW_LOG_config_accepted, "version=%llu preset=%s hosts=%zu source=%s",
	       (unsigned long long)pc->version, pc->in_force->name, pc->nhosts, source);
	if (old && strcmp(old->in_force->name, pc->in_force->name))
		lw_log(LW_LOG_preset_changed, "from=%s to=%s version=%llu", old->in_force->name,
		       pc->in_force->name, (unsigned long long)pc->version);
	synchronize_rcu();
	lw_platconf_free(old);
}

/* Long-poll the configuration service; keep the last good one when it fails. */
static void *watch_main(void *arg)
{
	lw_node_t *n = arg;
	lw_httpc_t *c = lw_httpc_new(n->set.config_service);
	char path[LW_NAME_MAX * 3];
	char index[24] = "0";
	bool down = false;

	while (!__atomic_load_n(&n->stopping, __ATOMIC_RELAXED)) {
		lw_http_reply_t r;
		lw_platconf_t *pc;

		snprintf(path, sizeof(path), "/v1/kv/%s?index=%s&wait=%d", n->set.config_key, index,
			 NODE_WATCH_WAIT_MS);
		lw_httpc_call(c, "GET", path, NULL, 0, (lw_str_t){ NULL, 0 },
			      NODE_WATCH_WAIT_MS + 2000, true, &r);
		if (r.fail || r.status != 200) {
			if (!down)
				lw_log(LW_LOG_config_unreachable, "service=%s status=%d",
				       n->set.config_service, r.status);
			down = true;
			free(r.body);
			usleep(500 * 1000);
			continue;
		}
		down = false;
		if (r.index[0] && strcmp(r.index, index) == 0) {
			free(r.body);
			continue; /* the watch timed out with no change */
		}
		snprintf(index, sizeof(index), "%s", r.index[0] ? r.index : "0");
		if (lw_platconf_parse(r.body ? r.body : "", r.len, &pc))
			lw_log(LW_LOG_config_rejected, "index=%s why=\"%s\"", index,
			       lw_error_last());
		else
			config_offer(n, pc, "config_service");
		free(r.body);
	}
	lw_httpc_free(c);
	return NULL;
}

static void on_tick(void *ctx, uint64_t now)
{
	lw_node_t *n = ctx;
	lw_event_t ev = { .kind = LW_EV_TICK };

	(void)now;
	pthread_mutex_lock(&n->lock);
	step(n, &ev);
	pthread_mutex_unlock(&n->lock);
}

static void on_pong(void *ctx, const char *addr, const Lw__Ping *pong)
{
	lw_node_t *n = ctx;

	if (!pong->draining)
		return;
	pthread_mutex_lock(&n->lock);
	for (size_t i = 0; i < n->policy->info.npeers; i++)
		if (strcmp(n->policy->info.peers[i].addr, addr) == 0) {
			lw_event_t ev = { .kind = LW_EV_PEER_STATE,
					  .peer = (int)i,
					  .draining = true };

			step(n, &ev);
		}
	pthread_mutex_unlock(&n->lock);
}

static void on_heartbeat(void *ctx, uint64_t now)
{
	lw_node_t *n = ctx;

	lw_pool_heartbeat(n->pool, now, NODE_PING_TIMEOUT_MS, on_pong, n);
}

static void render_status(lw_node_t *n, lw_http_resp_t *resp)
{
	char *buf = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&buf, &len);
	const lw_policy_info_t *in;

	pthread_mutex_lock(&n->lock);
	in = &n->policy->info;
	fprintf(f,
		"service %s\nzone %s\npolicy %s\npreset %s\nconfig_version %llu\n"
		"draining %s\ninflight %u\nqueued %u\nlimit %.1f\npeers %zu\n",
		n->set.service, n->set.zone, n->policy->ops->name, in->preset,
		(unsigned long long)in->config_version, in->draining ? "yes" : "no", in->inflight,
		in->queued, in->limit, in->npeers);
	for (size_t i = 0; i < in->npeers; i++) {
		const lw_peer_t *p = &in->peers[i];

		fprintf(f, "peer %s service=%s zone=%s state=%s inflight=%u load=%u\n", p->addr,
			n->policy->services[p->service], p->zone,
			p->leaving    ? "leaving" :
			p->draining   ? "draining" :
			p->fails >= 3 ? "suspected" :
					"live",
			p->inflight, p->load_permille);
	}
	pthread_mutex_unlock(&n->lock);
	fclose(f);
	resp->status = 200;
	resp->body = buf;
	resp->len = len;
}

static void render_metrics(lw_node_t *n, lw_http_resp_t *resp)
{
	size_t cap = 64 * 1024;
	char *buf = xmalloc(cap);
	size_t len = lw_counter_render(buf, cap);
	lw_policy_stats_t s;
	lw_policy_info_t in;

	pthread_mutex_lock(&n->lock);
	s = n->policy->stats;
	in = n->policy->info;
	pthread_mutex_unlock(&n->lock);
	for (int c = 0; c < LW_CLASS_COUNT && len < cap; c++)
		len += (size_t)snprintf(buf + len, cap - len,
					"lw_shed_total{service=\"%s\",class=\"%s\"} %llu\n",
					n->set.service, lw_class_name((lw_class_t)c),
					(unsigned long long)s.shed[c]);
	if (len < cap)
		len += (size_t)snprintf(
			buf + len, cap - len,
			"lw_retries_total %llu\nlw_retries_denied_total %llu\n"
			"lw_dedup_hits_total %llu\nlw_silent_conns_total %u\n"
			"lw_config_version %llu\nlw_limit %.1f\nlw_inflight %u\n",
			(unsigned long long)s.retries, (unsigned long long)s.retries_denied,
			(unsigned long long)s.dedup_hits, lw_pool_silent_replaced(n->pool),
			(unsigned long long)in.config_version, in.limit, in.inflight);
	resp->status = 200;
	resp->body = buf;
	resp->len = len < cap ? len : cap;
}

static void on_admin(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	lw_node_t *n = ctx;

	if (strcmp(req->url, "/metrics") == 0) {
		render_metrics(n, resp);
	} else if (strcmp(req->url, "/status") == 0) {
		render_status(n, resp);
	} else if (strcmp(req->url, "/drain") == 0 && strcmp(req->method, "POST") == 0) {
		lw_node_drain(n);
		lw_http_replyf(resp, 202, "draining\n");
	} else if (strcmp(req->url, "/config") == 0) {
		rcu_read_lock();
		lw_platconf_t *pc = rcu_dereference(n->config);

		if (pc)
			lw_http_reply(resp, 200, pc->text, pc->textlen);
		else
			lw_http_replyf(resp, 404, "no configuration yet\n");
		rcu_read_unlock();
	} else {
		lw_http_replyf(resp, 404,
			       "unknown path; use /metrics, /status, /config or POST /drain\n");
	}
}

static void make_counters(lw_node_t *n)
{
	char labels[96];

	for (int c = 0; c < LW_CLASS_COUNT; c++)
		for (int o = 0; o < 3; o++) {
			snprintf(labels, sizeof(labels),
				 "service=\"%s\",class=\"%s\",outcome=\"%s\"", n->set.service,
				 lw_class_name((lw_class_t)c), lw_outcome_name((lw_outcome_t)o));
			n->answers[c][o] =
				lw_counter_new("lw_requests_total",
					       "inbound requests answered, by outcome", labels);
		}
	for (int o = 0; o < 3; o++) {
		snprintf(labels, sizeof(labels), "service=\"%s\",outcome=\"%s\"", n->set.service,
			 lw_outcome_name((lw_outcome_t)o));
		n->outbound[o] =
			lw_counter_new("lw_outbound_total",
				       "calls of the local backend to other services", labels);
	}
	n->late_replies = lw_counter_new("lw_late_replies_total",
					 "replies dropped because their caller was answered", "");
}

/*
 * lw_node_start() - start a node with settings @s: its HTTP, peer and
 * admin listeners, the configuration watch and the timer subscriptions.
 * LW_ERR_IO names the address that could not be bound.
 */
lw_status_t lw_node_start(const lw_settings_t *s, lw_node_t **out)
{
	lw_node_t *n = xcalloc(1, sizeof(*n));
	lw_status_t st;

	n->set = *s;
	pthread_mutex_init(&n->lock, NULL);
	pthread_cond_init(&n->exit_cond, NULL);
	n->policy = lw_policy_new(s->policy, s->zone, s->backend_slots, (uint64_t)getpid());
	n->pool = lw_pool_new();
	make_counters(n);
	signal(SIGPIPE, SIG_IGN);
	if ((st = lw_sock_listen(s->peer_listen, &n->peer_fd)))
		goto fail;
	if ((st = lw_httpd_start(s->listen, on_http, n, &n->http)))
		goto fail;
	if ((st = lw_httpd_start(s->admin, on_admin, n, &n->admin)))
		goto fail;
	pthread_create(&n->peer_thread, NULL, peer_accept_main, n);
	pthread_create(&n->watch_thread, NULL, watch_main, n);
	n->timer = lw_timer_start();
	lw_timer_subscribe(n->timer, NODE_TICK_MS, on_tick, n);
	lw_timer_subscribe(n->timer, NODE_HEARTBEAT_MS, on_heartbeat, n);
	lw_log(LW_LOG_started, "service=%s zone=%s listen=%s peer=%s admin=%s backend=%s policy=%s",
	       s->service, s->zone, s->listen, s->peer_listen, s->admin, s->backend, s->policy);
	*out = n;
	return LW_OK;
fail:
	lw_httpd_stop(n->http);
	return st;
}

/* lw_node_drain() - refuse new work with not_run+draining; finish the rest. */
void lw_node_drain(lw_node_t *n)
{
	lw_event_t ev = { .kind = LW_EV_DRAIN };

	pthread_mutex_lock(&n->lock);
	step(n, &ev);
	pthread_mutex_unlock(&n->lock);
}

/*
 * lw_node_wait() - wait until a drain has finished (nothing in flight) or
 * the drain timeout has passed. Returns 0 when drained, 1 on timeout.
 */
int lw_node_wait(lw_node_t *n)
{
	uint64_t until = lw_now_ms() + n->set.drain_timeout_ms;
	int rc = 0;

	pthread_mutex_lock(&n->lock);
	while (!n->exit_ready && rc == 0)
		if (lw_cond_wait_until(&n->exit_cond, &n->lock, until))
			rc = lw_now_ms() >= until;
	pthread_mutex_unlock(&n->lock);
	return rc;
}

/* lw_node_stop() - stop all threads and listeners of @n and free it. */
void lw_node_stop(lw_node_t *n)
{
	__atomic_store_n(&n->stopping, 1, __ATOMIC_RELAXED);
	lw_timer_stop(n->timer);
	lw_httpd_stop(n->http);
	lw_httpd_stop(n->admin);
	shutdown(n->peer_fd, SHUT_RDWR);
	close(n->peer_fd);
	pthread_join(n->peer_thread, NULL);
	/* the watch thread may sit in a long poll; it is not joined, exit() ends it */
}
