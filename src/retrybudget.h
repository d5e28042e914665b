/*
 * Bounds on retries. A user request has one budget of retries for its whole
 * call tree; a node has a token bucket on top (a share of its calls, as the
 * Google SRE book's per-client retry budget, ch. 21).
 *
 * The user budget is carved up without any shared state: a caller keeps what
 * it may spend itself and grants the rest to the callee with each attempt.
 * A reply reports what the callee's subtree spent; when no reply comes the
 * whole grant counts as spent, so the sum over the tree never passes the
 * budget even when replies are lost.
 */
#ifndef LW_RETRYBUDGET_H
#define LW_RETRYBUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_user_budget {
	uint32_t total; /* this call's part of the user request's budget */
	uint32_t used; /* spent here and below so far */
	uint32_t granted; /* held by the attempt in flight */
} lw_user_budget_t;

typedef struct lw_retry_bucket {
	double tokens;
	double ratio; /* tokens earned per call */
} lw_retry_bucket_t;

uint32_t lw_user_budget_grant(lw_user_budget_t *b, bool may_retry_unknown);
void lw_user_budget_settle(lw_user_budget_t *b, bool replied, uint32_t reported);
uint32_t lw_user_budget_left(const lw_user_budget_t *b);
void lw_retry_bucket_init(lw_retry_bucket_t *t, double ratio);
void lw_retry_bucket_earn(lw_retry_bucket_t *t);
bool lw_retry_take(lw_user_budget_t *b, lw_retry_bucket_t *t);

#endif
