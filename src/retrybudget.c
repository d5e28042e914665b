/* Retry budgets of user requests and of the node; see retrybudget.h. */
#include "retrybudget.h"

#define BUCKET_CAP 10.0

/* lw_user_budget_left() - retries this call and what it calls may still make. */
uint32_t lw_user_budget_left(const lw_user_budget_t *b)
{
	return b->total - b->used - b->granted;
}

/*
 * lw_user_budget_grant() - what the next attempt's callee may spend. A call
 * that may itself be repeated after a lost reply keeps one retry back: a
 * lost reply costs the whole grant, and the usual silent callee has spent
 * nothing.
 */
uint32_t lw_user_budget_grant(lw_user_budget_t *b, bool may_retry_unknown)
{
	uint32_t left = lw_user_budget_left(b);

	b->granted = may_retry_unknown && left ? left - 1 : left;
	return b->granted;
}

/*
 * lw_user_budget_settle() - the attempt ended. @replied: the callee said it
 * spent @reported; otherwise it may have spent all it was granted.
 */
void lw_user_budget_settle(lw_user_budget_t *b, bool replied, uint32_t reported)
{
	uint32_t spent = replied && reported < b->granted ? reported : b->granted;

	b->granted = 0;
	b->used += spent;
}

/* lw_retry_bucket_init() - a full bucket earning @ratio tokens per call. */
void lw_retry_bucket_init(lw_retry_bucket_t *t, double ratio)
{
	t->tokens = BUCKET_CAP;
	t->ratio = ratio;
}

/* lw_retry_bucket_earn() - one more call was made. */
void lw_retry_bucket_earn(lw_retry_bucket_t *t)
{
	t->tokens += t->ratio;
	if (t->tokens > BUCKET_CAP)
		t->tokens = BUCKET_CAP;
}

/* lw_retry_take() - spend one retry of @b and one token of @t; false if either is out. */
bool lw_retry_take(lw_user_budget_t *b, lw_retry_bucket_t *t)
{
	if (lw_user_budget_left(b) == 0 || t->tokens < 1.0)
		return false;
	b->used++;
	t->tokens -= 1.0;
	return true;
}
