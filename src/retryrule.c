/* What follows when a call failed; see retryrule.h. */
#include "retryrule.h"

/* another attempt with less time left than this only adds load, ms */
#define LEFT_MIN_MS 30

/* lw_retry_final() - the answer if there is no further attempt. */
lw_verdict_t lw_retry_final(const lw_attempts_t *a, lw_fail_t why)
{
	if (why == LW_FAIL_TIMEOUT)
		return LW_VERDICT_TIMEOUT;
	if (!lw_fail_not_executed(why) || a->maybe_ran)
		return LW_VERDICT_FAIL;
	return LW_VERDICT_REFUSE;
}

/*
 * Whether a call that has been given to as many servers as its route allows
 * may go to one of them again. It may where the server shed it, or lost or
 * spoiled its answer, and the call may run twice.
 */
static bool may_resend(const lw_attempts_t *a, lw_fail_t why)
{
	uint32_t most = why == LW_FAIL_SHED ? LW_RESENDS_MAX : LW_RESENDS_BROKEN;

	return a->nested && a->resent < most &&
	       (why == LW_FAIL_SHED || (why == LW_FAIL_BROKEN && a->idempotent));
}

/*
 * What follows an attempt that reached no server. Once the route's servers are
 * used up it was a resend, and counted: the next one is within the allowance.
 */
static lw_verdict_t after_hand_back(const lw_attempts_t *a, lw_fail_t why)
{
	lw_fail_t before = a->maybe_ran ? LW_FAIL_BROKEN : LW_FAIL_SHED;

	if (a->handed_back > LW_HANDBACKS_MAX)
		return lw_retry_final(a, why);
	if (a->given < a->max_given)
		return LW_VERDICT_AGAIN;
	return may_resend(a, before) ? LW_VERDICT_SAME : lw_retry_final(a, why);
}

/*
 * lw_retry_verdict() - what follows a call that failed with @why; @a counts
 * that call already. An attempt that reached no backend server is repeated
 * elsewhere freely: nothing was done for it yet. Not so once as many had the
 * request as its route allows: only one of them may get it then. A route limits
 * to how many backend servers a request may be given; one that shed it did not
 * run it, and may be asked again. That is for calls of running requests: a user's request
 * can come back by itself, a refused call loses all that was done. Where all servers of a service shed half of their
 * requests at random, two servers asked once each leave a request with five
 * calls a chance of 17%, asked twice each one of 62%.
 */
lw_verdict_t lw_retry_verdict(const lw_attempts_t *a, lw_fail_t why)
{
	bool may_repeat = lw_fail_not_executed(why) || a->idempotent;

	if (!may_repeat || !a->body_kept || a->left_ms < LEFT_MIN_MS || why == LW_FAIL_EXPIRED ||
	    why == LW_FAIL_TIMEOUT)
		return lw_retry_final(a, why);
	if (!lw_fail_reached_server(why))
		return after_hand_back(a, why);
	if (a->given < a->max_given)
		return LW_VERDICT_AGAIN_COUNTED;
	return may_resend(a, why) ? LW_VERDICT_SAME_COUNTED : lw_retry_final(a, why);
}

/*
 * lw_retry_answer() - what follows a backend server's failure @status: it may
 * be tried again instead of being passed on. At 504 the time is over.
 */
lw_verdict_t lw_retry_answer(const lw_attempts_t *a, uint32_t status)
{
	bool failed = status == 500 || status == 502 || status == 503;

	if (!failed || !a->idempotent || !a->body_kept || a->left_ms < LEFT_MIN_MS)
		return LW_VERDICT_FAIL;
	if (a->given < a->max_given)
		return LW_VERDICT_AGAIN_COUNTED;
	return may_resend(a, LW_FAIL_BROKEN) ? LW_VERDICT_SAME_COUNTED : LW_VERDICT_FAIL;
}

/*
 * lw_retry_silent() - what follows when nothing is heard of an attempt:
 * LW_VERDICT_FAIL means that it can only be waited for.
 */
lw_verdict_t lw_retry_silent(const lw_attempts_t *a)
{
	if (!a->idempotent || !a->body_kept || a->left_ms < LEFT_MIN_MS)
		return LW_VERDICT_FAIL;
	if (a->given + 1 < a->max_given)
		return LW_VERDICT_AGAIN_COUNTED;
	return may_resend(a, LW_FAIL_BROKEN) ? LW_VERDICT_SAME_COUNTED : LW_VERDICT_FAIL;
}
