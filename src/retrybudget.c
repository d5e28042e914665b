/* Retry budgets of user requests and of the node; see retrybudget.h. */
#include "retrybudget.h"

#define BUCKET_CAP 10.0

/* lw_user_budget_left() - retries that this call and the calls below it may still make. */
uint32_t lw_user_budget_left(const lw_user_budget_t *b)
{
	return b->total - b->used - b->granted;
}

/*
 * lw_user_budget_grant() - the retries that the callee of the next attempt
 * may use. A call that may be retried after a lost reply keeps one retry for
 * itself: a lost reply costs the whole grant, although a silent callee has
 * usually used none of it.
 */
uint32_t lw_user_budget_grant(lw_user_budget_t *b, bool may_retry_unknown)
{
	uint32_t left = lw_user_budget_left(b);

	b->granted = may_retry_unknown && left ? left - 1 : left;
	return b->granted;
}

/*
 * lw_user_budget_settle() - the attempt ended. @replied: the callee reported
 * that it used @reported; otherwise it may have used its whole grant.
 */
void lw_user_budget_settle(lw_user_budget_t *b, bool replied, uint32_t reported)
{
	uint32_t spent = replied && reported < b->granted ? reported : b->granted;

	b->granted = 0;
	b->used += spent;
}

/* lw_retry_bucket_init() - a full bucket that earns @ratio tokens per call. */
void lw_retry_bucket_init(lw_retry_bucket_t *t, double ratio)
{
	t->tokens = BUCKET_CAP;
	t->ratio = ratio;
}

/* lw_retry_bucket_earn() - a call was made. */
void lw_retry_bucket_earn(lw_retry_bucket_t *t)
{
	t->tokens += t->ratio;
	if (t->tokens > BUCKET_CAP)
		t->tokens = BUCKET_CAP;
}

/* lw_retry_take() - use one retry of @b and one token of @t; false if either is exhausted. */
bool lw_retry_take(lw_user_budget_t *b, lw_retry_bucket_t *t)
{
	if (lw_user_budget_left(b) == 0 || t->tokens < 1.0)
		return false;
	b->used++;
	t->tokens -= 1.0;
	return true;
}
