/* What follows a failed call; see retryrule.h. */
#include "retryrule.h"

/* with less time left than this, a further attempt would only add load, ms */
#define LEFT_MIN_MS 30

/* lw_retry_final_verdict() - the answer if there is no further attempt. */
lw_retry_verdict_kind_t lw_retry_final_verdict(const lw_attempts_t *a, lw_fail_t why)
{
	if (why == LW_FAIL_TIMEOUT)
		return LW_VERDICT_TIMEOUT;
	if (!lw_fail_not_executed(why) || a->maybe_executed)
		return LW_VERDICT_FAIL;
	return LW_VERDICT_REFUSE;
}

/*
 * Whether a call that has reached as many servers as its route allows
 * may be resent to one of them. It may if the server shed it, or if the
 * answer was lost or corrupted and the call may be executed twice.
 */
static bool may_resend(const lw_attempts_t *a, lw_fail_t why)
{
	uint32_t most = why == LW_FAIL_SHED ? LW_RESENDS_SHED_MAX : LW_RESENDS_BROKEN_MAX;

	return a->nested && a->resent < most &&
	       (why == LW_FAIL_SHED || (why == LW_FAIL_BROKEN && a->idempotent));
}

/*
 * What follows an attempt that reached no server. After the limit of the
 * route is used up, that attempt was a resend and has been counted, so the
 * next one is within the allowance.
 */
static lw_retry_verdict_kind_t after_undelivered(const lw_attempts_t *a, lw_fail_t why)
{
	lw_fail_t before = a->maybe_executed ? LW_FAIL_BROKEN : LW_FAIL_SHED;

	if (a->undelivered > LW_UNDELIVERED_MAX)
		return lw_retry_final_verdict(a, why);
	if (a->reached < a->max_reached)
		return LW_VERDICT_RETRY_OTHER;
	return may_resend(a, before) ? LW_VERDICT_RESEND_SAME : lw_retry_final_verdict(a, why);
}

/*
 * lw_retry_verdict() - what follows a call that failed with @why; @a includes
 * that call. An attempt that reached no backend server is retried at another
 * one without being counted, because no work was done for it yet. Once the
 * request has reached as many servers as its route allows, only one of
 * those may get it. The route limits the number of backend servers that get a
 * request; a server that shed the request has not executed it and may get it
 * again. This is for calls made by requests in execution: a user request can
 * be retried by the client, while a refused call loses all work done before.
 * A request that makes several calls to a service that sheds a part of them
 * succeeds only if none of them is refused for good, so each call needs a high
 * chance of its own.
 */
lw_retry_verdict_kind_t lw_retry_verdict(const lw_attempts_t *a, lw_fail_t why)
{
	bool may_repeat = lw_fail_not_executed(why) || a->idempotent;

	if (!may_repeat || !a->body_kept || a->left_ms < LEFT_MIN_MS || why == LW_FAIL_EXPIRED ||
	    why == LW_FAIL_TIMEOUT)
		return lw_retry_final_verdict(a, why);
	if (!lw_fail_reached_server(why))
		return after_undelivered(a, why);
	if (a->reached < a->max_reached)
		return LW_VERDICT_RETRY_OTHER_COUNTED;
	return may_resend(a, why) ? LW_VERDICT_RESEND_SAME_COUNTED : lw_retry_final_verdict(a, why);
}

/*
 * lw_retry_verdict_status() - what follows an error @status of a backend
 * server: a retry may replace it. With 504 the time is over.
 */
lw_retry_verdict_kind_t lw_retry_verdict_status(const lw_attempts_t *a, uint32_t status)
{
	bool failed = status == 500 || status == 502 || status == 503;

	if (!failed || !a->idempotent || !a->body_kept || a->left_ms < LEFT_MIN_MS)
		return LW_VERDICT_FAIL;
	if (a->reached < a->max_reached)
		return LW_VERDICT_RETRY_OTHER_COUNTED;
	return may_resend(a, LW_FAIL_BROKEN) ? LW_VERDICT_RESEND_SAME_COUNTED : LW_VERDICT_FAIL;
}

/*
 * lw_retry_verdict_silent() - what follows when an attempt stays silent.
 * LW_VERDICT_FAIL: the caller can only wait for that attempt.
 */
lw_retry_verdict_kind_t lw_retry_verdict_silent(const lw_attempts_t *a)
{
	if (!a->idempotent || !a->body_kept || a->left_ms < LEFT_MIN_MS)
		return LW_VERDICT_FAIL;
	if (a->reached + 1 < a->max_reached)
		return LW_VERDICT_RETRY_OTHER_COUNTED;
	return may_resend(a, LW_FAIL_BROKEN) ? LW_VERDICT_RESEND_SAME_COUNTED : LW_VERDICT_FAIL;
}
