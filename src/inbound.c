/*
 * The inbound path: requests to this node's backend server from callers (HTTP) and peers
 * (frames), and requests of the local backend server to other services.
 */
#include <stdio.h>
#include <string.h>
#include <urcu-bp.h>

#include "linux/clock.h"
#include "log.h"
#include "node_int.h"

#define LW_STARTING_RETRY_MS 500

/*
 * asks other nodes for the record of a retry that this node has no record of, and reports
 * the result to the reducer
 */
static void look_up_record(lw_node_t *n, lw_call_t *c, const lw_request_t *rq)
{
	lw_event_t ev = { .kind = LW_EV_IN_RECORD, .id = c->id, .outcome = LW_UNKNOWN };
	lw_answer_t *answer = NULL;

	c->state = LW_CALL_WAIT;
	pthread_mutex_unlock(&n->lock);
	if (lw_outbound_lookup(n, rq, &answer)) {
		ev.outcome = LW_DONE;
		ev.answer = answer;
	}
	pthread_mutex_lock(&n->lock);
	lw_node_step(n, &ev);
	lw_answer_unref(answer);
}

/*
 * lw_inbound_backend_done() - the backend server finished a request (called by a worker
 * thread). Its slot and records are updated even if the caller was already answered with
 * "unknown".
 */
void lw_inbound_backend_done(void *ctx, uint64_t id, const lw_backend_result_t *res)
{
	lw_node_t *n = ctx;
	lw_event_t ev = { .kind = LW_EV_IN_DONE, .id = id };

	ev.outcome = res->outcome;
	ev.reason = res->reason;
	ev.retries_used = res->retries_used;
	ev.latency_ms = res->latency_ms;
	ev.answer = res->answer;
	ev.answer_bytes = res->answer ? res->answer->len : 0;
	/* one reference for each of the reducer's two record tables */
	lw_answer_ref(res->answer);
	lw_answer_ref(res->answer);
	pthread_mutex_lock(&n->lock);
	lw_node_step(n, &ev);
	pthread_mutex_unlock(&n->lock);
}

/* waits for the reducer's decision; false if the deadline passed first */
static bool wait_for_decision(lw_node_t *n, lw_call_t *c, uint64_t deadline_at)
{
	while (c->state == LW_CALL_WAIT)
		if (lw_cond_wait_until(&c->cond, &n->lock, deadline_at) &&
		    lw_now_ms() >= deadline_at)
			return c->state != LW_CALL_WAIT;
	return true;
}

static void end_call_timed_out(lw_call_t *c, lw_outcome_t outcome, lw_reason_t reason)
{
	c->res.outcome = outcome;
	c->res.reason = reason;
	lw_log(LW_LOG_request_timeout, "call=%llu outcome=%s", (unsigned long long)c->id,
	       lw_outcome_name(outcome));
}

static void run_on_backend(lw_node_t *n, lw_call_t *c, const lw_request_t *rq, uint64_t deadline_at)
{
	c->state = LW_CALL_WAIT;
	lw_backend_run(n->backend, c->id, rq, c->retry_budget, deadline_at);
	if (!wait_for_decision(n, c, deadline_at))
		/*
		 * the caller is answered now; the backend server's response is kept for a
		 * retry
		 */
		end_call_timed_out(c, LW_UNKNOWN, LW_R_TIMEOUT);
}

/*
 * lw_inbound_serve() - lets this node's backend server execute @rq within its deadline. A
 * @res with outcome done holds a reference to the answer.
 */
void lw_inbound_serve(lw_node_t *n, const lw_request_t *rq, lw_result_t *res)
{
	lw_event_t ev = { .kind = LW_EV_IN_REQUEST };
	uint64_t deadline_at = lw_now_ms() + rq->deadline_ms;
	lw_call_t c;

	if (!lw_node_joined(n)) {
		*res = (lw_result_t){ .outcome = LW_NOT_RUN,
				      .reason = LW_R_STARTING,
				      .retry_after_ms = LW_STARTING_RETRY_MS };
		return;
	}
	pthread_mutex_lock(&n->lock);
	lw_node_call_open(n, &c);
	ev.id = c.id;
	ev.cls = rq->cls;
	ev.deadline_ms = rq->deadline_ms;
	ev.retry_budget = rq->retry_budget;
	ev.repeat = rq->repeat;
	ev.depth = rq->depth;
	ev.idem_key = lw_request_idem_key(rq->route, rq->idem_key);
	ev.attempt_key = rq->attempt_key;
	lw_node_step(n, &ev);
	if (c.state == LW_CALL_LOOKUP)
		look_up_record(n, &c, rq);
	if (!wait_for_decision(n, &c, deadline_at))
		/*
		 * still queued; after the call is closed here, the request is never executed
		 * (see apply_effect())
		 */
		end_call_timed_out(&c, LW_NOT_RUN, LW_R_DEADLINE);
	else if (c.state == LW_CALL_ADMITTED)
		run_on_backend(n, &c, rq, deadline_at);
	lw_node_call_close(n, &c);
	pthread_mutex_unlock(&n->lock);
	*res = c.res;
	lw_counter_add(n->count.answers[rq->cls][res->outcome], 1);
}

static bool is_draining(lw_node_t *n)
{
	bool yes;

	pthread_mutex_lock(&n->lock);
	yes = n->policy->info.draining;
	pthread_mutex_unlock(&n->lock);
	return yes;
}

static void result_to_http(lw_node_t *n, lw_result_t *res, lw_http_resp_t *resp)
{
	/* a draining node will exit: a request on a kept-alive connection would be lost */
	if (is_draining(n))
		lw_http_set_header(resp, "Connection", "close");
	lw_http_set_header(resp, "X-LW-Outcome", "%s", lw_outcome_name(res->outcome));
	lw_http_set_header(resp, "X-LW-Retries-Used", "%u", res->retries_used);
	if (res->outcome == LW_DONE && res->answer) {
		lw_http_reply(resp, res->answer->status, res->answer->body, res->answer->len);
		lw_answer_unref(res->answer);
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

static bool parse_request(lw_node_t *n, const lw_http_req_t *req, const char *route,
			  lw_request_t *rq, lw_http_resp_t *resp)
{
	uint32_t paused = lw_node_paused_ms(n);
	lw_status_t st;

	rcu_read_lock();
	st = lw_request_from_http(req, route, rcu_dereference(n->config), rq);
	rcu_read_unlock();
	if (st) {
		lw_http_set_header(resp, "X-LW-Outcome", "not_run");
		lw_http_replyf(resp, 400, "%s\n", lw_error_last());
		return false;
	}
	rq->deadline_ms -= paused < rq->deadline_ms ? paused : rq->deadline_ms;
	return true;
}

/* lw_inbound_end() - ends the connections of callers: what arrives from now on is not executed. */
void lw_inbound_end(lw_node_t *n)
{
	static const char last[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Connection: close\r\n"
				   "X-LW-Outcome: not_run\r\n"
				   "X-LW-Retries-Used: 0\r\n"
				   "X-LW-Reason: draining\r\n"
				   "Retry-After: 0\r\n"
				   "X-LW-Retry-After-Ms: 0\r\n"
				   "Content-Type: text/plain\r\n"
				   "Content-Length: 17\r\n\r\n"
				   "not_run draining\n";

	lw_httpd_end(n->http, (lw_str_t){ last, sizeof(last) - 1 });
}

/*
 * lw_inbound_http() - handles HTTP requests of callers (/v1/call/NAME: this node's service)
 * and of the local backend server (/v1/out/SERVICE/NAME: another service).
 */
void lw_inbound_http(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	lw_node_t *n = ctx;
	const char *out = strncmp(req->url, "/v1/out/", 8) == 0 ? req->url + 8 : NULL;
	const char *slash = out ? strchr(out, '/') : NULL;
	char buf[LW_NAME_MAX + LW_ROUTE_MAX];
	lw_request_t rq;
	lw_result_t res;

	if (strncmp(req->url, "/v1/call/", 9) == 0) {
		snprintf(buf, sizeof(buf), "%s/%s", n->set.service, req->url + 9);
		if (!parse_request(n, req, buf, &rq, resp))
			return;
		lw_inbound_serve(n, &rq, &res);
	} else if (slash && slash - out < LW_NAME_MAX) {
		snprintf(buf, sizeof(buf), "%.*s", (int)(slash - out), out);
		if (!parse_request(n, req, out, &rq, resp))
			return;
		lw_outbound_serve(n, buf, &rq, &res);
	} else {
		lw_http_replyf(resp, 404,
			       "unknown path %s; use /v1/call/NAME or /v1/out/SERVICE/NAME\n",
			       req->url);
		return;
	}
	result_to_http(n, &res, resp);
}
