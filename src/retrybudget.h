/*
 * Limits of retries. A user request has one retry budget for its whole call
 * tree; a node additionally has a token bucket (a share of its calls, like
 * the per-client retry budget in the Google SRE book, ch. 21).
 *
 * The budget of a user request is divided without shared state: a caller
 * keeps what it may use itself and grants the rest to the callee with each
 * attempt. A reply reports what the callee's subtree used. If there is no
 * reply, the whole grant counts as used, so the sum over the tree never
 * exceeds the budget even when replies are lost.
 */
#ifndef LW_RETRYBUDGET_H
#define LW_RETRYBUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_user_budget {
	uint32_t total; /* this call's part of the user request's budget */
	uint32_t used; /* used by this call and below so far */
	uint32_t granted; /* granted to the attempt in flight */
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
