/*
 * Requests that a host returned from its queue: they are placed at another host that has room, or
 * put back into the queue that they came from. The retry allowance is not charged, as no backend
 * server received them.
 */
#include "exchange_int.h"

/* whether the service has a host that has not been tried and accepts work */
static bool has_untried_host(const lw_exchange_t *x)
{
	uint64_t now_us = x->engine->evloop->now_us;

	for (const lw_place_host_t *h = x->service->hosts; h; h = h->next) {
		bool tried = false;

		for (size_t i = 0; i < x->tried.n; i++)
			tried |= x->tried.host[i] == h;
		if (!tried && lw_place_accepts_work(h, now_us))
			return true;
	}
	return false;
}

/*
 * Whether the request can be placed once more if its host returns it. A host grants no credit for
 * the body of a queued request, so a body that is complete now is still complete then.
 */
static bool is_returnable(const lw_exchange_t *x)
{
	const lw_attempts_t *a = &x->attempts;

	return !x->body_base && a->undelivered < LW_UNDELIVERED_MAX &&
	       a->reached < a->max_reached && x->tried.n < LW_PLACE_TRIED_MAX &&
	       has_untried_host(x);
}

/*
 * lw_exchange_fill_return() - fill the fields of @req that concern a return. A request that is put
 * back keeps the end of its useful wait.
 */
void lw_exchange_fill_return(lw_exchange_t *x, lw_call_request_t *req)
{
	req->returnable = is_returnable(x);
	req->put_back = x->putting_back;
	if (x->putting_back)
		req->queue_ms = lw_exchange_remaining_ms(x, x->queue_until_us);
	else
		x->queue_until_us = x->engine->evloop->now_us + (uint64_t)req->queue_ms * 1000;
	x->putting_back = false;
}

/*
 * lw_exchange_on_returned() - the host of the attempt in progress returned the request. Returns the
 * reason that the caller is told if there is no further attempt.
 */
lw_fail_t lw_exchange_on_returned(lw_exchange_t *x)
{
	x->engine->stats.returned++;
	x->returned_by = x->host;
	return LW_FAIL_BUSY;
}

/* the host that returned the request, if it is still known and accepts work; else NULL */
static lw_place_host_t *returning_host(const lw_exchange_t *x)
{
	for (lw_place_host_t *h = x->service->hosts; h; h = h->next)
		if (h == x->returned_by && lw_place_accepts_work(h, x->engine->evloop->now_us))
			return h;
	return NULL;
}

/* lets the host get the request again as a resend */
static void clear_rejected(lw_place_tried_t *tried, const lw_place_host_t *h)
{
	for (size_t i = 0; i < tried->n; i++)
		if (tried->host[i] == h)
			tried->rejected[i] = false;
}

static bool put_back(lw_exchange_t *x, lw_fail_t why)
{
	lw_place_host_t *host = returning_host(x);

	if (!host || !x->attempts.body_kept || !lw_exchange_remaining_ms(x, x->queue_until_us))
		return false;
	x->engine->stats.put_back++;
	x->returned_by = NULL;
	x->putting_back = true;
	x->host = host;
	clear_rejected(&x->tried, host);
	lw_exchange_log_retry(x, why);
	lw_exchange_submit(x);
	return true;
}

/*
 * lw_exchange_place_returned() - after a return, or a rejection that followed one: place the
 * request at a host that has room, or else put it back, so that it is not worse off than before.
 * @v is the verdict on the last attempt. Returns false if neither is possible.
 */
bool lw_exchange_place_returned(lw_exchange_t *x, lw_retry_verdict_kind_t v, lw_fail_t why)
{
	lw_place_query_t req = lw_exchange_place_query(x);
	lw_place_host_t *room = NULL;

	if (!x->returned_by || lw_fail_reached_server(why) || why == LW_FAIL_EXPIRED ||
	    x->attempts.reached >= x->attempts.max_reached)
		return false;
	if (v == LW_VERDICT_RETRY_OTHER && x->tried.n < LW_PLACE_TRIED_MAX)
		room = lw_place_pick_room(x->service, &x->tried, &req, true);
	if (!room)
		return put_back(x, why);
	x->engine->stats.handed_back++;
	lw_exchange_attempt_at(x, room, why);
	return true;
}
