/* Reads requests from HTTP and from frames; see request.h. */
#include "request.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static lw_key_t key_of(const void *data, size_t len, uint64_t seed)
{
	XXH128_hash_t h = XXH3_128bits_withSeed(data, len, seed);

	/* the zero key means "no key" */
	return (lw_key_t){ h.high64, h.low64 ? h.low64 : 1 };
}

/*
 * lw_request_idem_key() - the record key of an idempotency key. It includes the route: the same
 * key on two routes belongs to two different requests, and replaying the answer of one to the
 * other would give a caller somebody else's answer.
 */
lw_key_t lw_request_idem_key(const char *route, const char *idem_key)
{
	char both[LW_ROUTE_MAX + LW_IDEM_MAX];
	int n = snprintf(both, sizeof(both), "%s\n%s", route, idem_key);

	if (!idem_key[0])
		return (lw_key_t){ 0, 0 };
	return key_of(both, (size_t)n < sizeof(both) ? (size_t)n : sizeof(both) - 1, 1);
}

/* lw_request_attempt_key() - the record key of one attempt of one sender. */
lw_key_t lw_request_attempt_key(uint64_t sender_incarnation, uint64_t request_id)
{
	uint64_t both[2] = { sender_incarnation, request_id };

	if (!sender_incarnation)
		return (lw_key_t){ 0, 0 };
	return key_of(both, sizeof(both), 2);
}

/* a value that is too long is rejected, as two values could become equal if truncated */
static lw_status_t copy_value(char *dst, size_t len, const char *src, const char *what)
{
	if (strlen(src ? src : "") >= len)
		return lw_error(LW_ERR_PROTO, "%s is over %zu bytes; shorten it", what, len - 1);
	snprintf(dst, len, "%s", src ? src : "");
	return LW_OK;
}

static lw_status_t read_number(const lw_http_req_t *req, const char *name, uint64_t max,
			       uint64_t dflt, uint64_t *out)
{
	const char *v = lw_http_header(req, name);
	char *end;

	*out = dflt;
	if (!v)
		return LW_OK;
	errno = 0;
	*out = strtoull(v, &end, 10);
	if (errno || end == v || *end || *v == '-')
		return lw_error(LW_ERR_PROTO, "header %s is '%s'; send a whole number", name, v);
	if (*out > max)
		*out = max;
	return LW_OK;
}

static void classify(const lw_platconf_t *pc, lw_request_t *rq)
{
	const lw_route_t *r = lw_platconf_route(pc, lw_str_c(rq->route));

	rq->cls = r ? r->cls : LW_CLASS_DEFAULT;
	/* a route that is not configured may not be safe to execute twice */
	rq->idempotent = r ? r->idempotent : false;
}

/*
 * lw_request_from_http() - convert @req into a request for @route ("service/name"). Optional
 * headers: X-LW-Deadline-Ms, X-LW-Retry-Budget, X-LW-Idempotency-Key, X-LW-Repeat,
 * X-LW-Request-Id, X-LW-Parent. The error message of LW_ERR_PROTO names the invalid header.
 */
lw_status_t lw_request_from_http(const lw_http_req_t *req, const char *route,
				 const lw_platconf_t *pc, lw_request_t *rq)
{
	uint32_t preset_budget = pc ? pc->in_force->retry_budget : LW_DEFAULT_BUDGET;
	const char *repeat = lw_http_header(req, "X-LW-Repeat");
	uint64_t deadline, budget;
	lw_status_t st;

	memset(rq, 0, sizeof(*rq));
	if ((st = copy_value(rq->route, sizeof(rq->route), route, "route")) ||
	    (st = copy_value(rq->idem_key, sizeof(rq->idem_key),
			     lw_http_header(req, "X-LW-Idempotency-Key"),
			     "X-LW-Idempotency-Key")) ||
	    (st = copy_value(rq->user_id, sizeof(rq->user_id),
			     lw_http_header(req, "X-LW-Request-Id"), "X-LW-Request-Id")) ||
	    (st = read_number(req, "X-LW-Deadline-Ms", LW_DEADLINE_MAX_MS, LW_DEFAULT_DEADLINE_MS,
			      &deadline)) ||
	    (st = read_number(req, "X-LW-Retry-Budget", LW_BUDGET_MAX, preset_budget, &budget)) ||
	    (st = read_number(req, "X-LW-Parent", UINT64_MAX, 0, &rq->parent)))
		return st;
	rq->deadline_ms = (uint32_t)deadline;
	rq->retry_budget = (uint32_t)budget;
	rq->repeat = repeat && strcmp(repeat, "0") != 0;
	rq->body = req->body;
	classify(pc, rq);
	return LW_OK;
}

/*
 * lw_request_from_frame() - convert @f, a request from a peer. The class is taken from the sender;
 * whether the request is idempotent depends on this node's configuration.
 */
lw_status_t lw_request_from_frame(const Lw__Request *f, const lw_platconf_t *pc, lw_request_t *rq)
{
	lw_status_t st;

	memset(rq, 0, sizeof(*rq));
	if ((st = copy_value(rq->route, sizeof(rq->route), f->route, "route")) ||
	    (st = copy_value(rq->idem_key, sizeof(rq->idem_key), f->idempotency_key,
			     "idempotency_key")) ||
	    (st = copy_value(rq->user_id, sizeof(rq->user_id), f->trace_id, "trace_id")))
		return st;
	classify(pc, rq);
	if ((unsigned)f->class_ < LW_CLASS_COUNT)
		rq->cls = (lw_class_t)f->class_;
	rq->deadline_ms = f->deadline_ms < LW_DEADLINE_MAX_MS ? f->deadline_ms : LW_DEADLINE_MAX_MS;
	rq->retry_budget = f->retry_budget < LW_BUDGET_MAX ? f->retry_budget : LW_BUDGET_MAX;
	rq->repeat = f->repeat;
	rq->depth = f->depth;
	rq->attempt_key = lw_request_attempt_key(f->sender_incarnation, f->request_id);
	rq->body = (lw_str_t){ (const char *)f->body.data, f->body.len };
	return LW_OK;
}
