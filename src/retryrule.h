/*
 * Decides what follows a failed call: a retry at another backend server, or
 * which answer the caller gets. No I/O. A refusal guarantees that the request
 * was not executed; it is given only if no server can have executed it.
 */
#ifndef LW_RETRYRULE_H
#define LW_RETRYRULE_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"

typedef enum lw_retry_verdict_kind {
	LW_VERDICT_RETRY_OTHER, /* try another backend server; not counted as a retry */
	LW_VERDICT_RETRY_OTHER_COUNTED, /* the same, if the retry allowance permits */
	LW_VERDICT_RESEND_SAME, /* resend to a server that had it; the undelivered try was counted */
	LW_VERDICT_RESEND_SAME_COUNTED, /* resend to a server that had it, if the allowance permits */
	LW_VERDICT_REFUSE, /* not executed: the caller may retry */
	LW_VERDICT_FAIL, /* it may have been executed */
	LW_VERDICT_TIMEOUT, /* it may have been executed and its deadline has passed */
} lw_retry_verdict_kind_t;

/* What is known of the attempts of one request. */
typedef struct lw_attempts {
	bool idempotent;
	bool nested; /* a request in execution made this call and fails with it */
	bool body_kept; /* the body is buffered and can be resent */
	bool maybe_executed; /* the outcome of an attempt is unknown */
	uint32_t reached; /* backend servers that the request reached */
	uint32_t max_reached; /* limit of the route */
	uint32_t undelivered; /* attempts that reached no backend server */
	uint32_t resent; /* times it was resent to a server that had it before */
	uint32_t left_ms; /* time the caller has left */
} lw_attempts_t;

/* Maximum number of attempts that reach no backend server before the caller is refused. */
#define LW_UNDELIVERED_MAX 3
/*
 * How often a call is resent at most to a backend server that shed it, besides
 * the attempts of the route. With it a request with four calls succeeds nearly
 * always where a server sheds half of its requests; the retry allowance and the
 * deadline bound the retries.
 */
#define LW_RESENDS_SHED_MAX 6
/*
 * How often an idempotent call is resent at most to a server that lost its
 * answer. Each of these attempts takes until the answer counts as lost.
 */
#define LW_RESENDS_BROKEN_MAX 2

lw_retry_verdict_kind_t lw_retry_verdict(const lw_attempts_t *a, lw_fail_t why);
lw_retry_verdict_kind_t lw_retry_final_verdict(const lw_attempts_t *a, lw_fail_t why);
lw_retry_verdict_kind_t lw_retry_verdict_silent(const lw_attempts_t *a);
lw_retry_verdict_kind_t lw_retry_verdict_status(const lw_attempts_t *a, uint32_t status);

#endif
