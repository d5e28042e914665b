/* Internal to the account module; other modules use account.h. */
#ifndef LW_ACCOUNT_INT_H
#define LW_ACCOUNT_INT_H

#include <uthash.h>

#include "account.h"
#include "logline.h"
#include "name.h"

/* longest stamp without milliseconds, in bytes, with the zero */
#define LW_ACCOUNT_STAMP_MAX 16
/* value of a column that no line tells */
#define LW_ACCOUNT_UNKNOWN "unknown"

/* Losses of one row and cause since the last summary. */
typedef struct lw_account_entry {
	lw_account_row_t *row;
	uint32_t cause;
	uint64_t at_s;
	uint64_t seen;
	double dropped; /* requests that are estimated for the row */
} lw_account_entry_t;

/* Counters of a loss_summary line. */
typedef struct lw_account_counters {
	uint64_t uptime_ms;
	uint64_t received; /* requests of callers */
	uint64_t lost[LW_LOSS_CAUSES];
	uint64_t lost_nested;
	uint64_t lines_dropped;
} lw_account_counters_t;

/* One process of a node; its state covers the time since its last summary. */
struct lw_account_process {
	UT_hash_handle hh;
	lw_account_entry_t *entries;
	size_t nentries;
	size_t cap;
	size_t window; /* first entry since the last report of dropped lines */
	uint64_t line_s; /* second of the last line about a request */
	uint64_t lines_now; /* lines about requests in that second and the one before */
	uint64_t lines_before;
	uint64_t announced; /* digest of the id of the request whose request_ended line is next */
	char stamp[LW_ACCOUNT_STAMP_MAX]; /* of the last line */
	uint64_t seen[LW_LOSS_CAUSES]; /* lost requests with a line */
	uint64_t settled[LW_LOSS_CAUSES]; /* estimated ones that are in the rows already */
	uint64_t nested;
	bool has_base; /* the counters at the begin of that time are known */
	lw_account_counters_t base;
	uint64_t missing; /* since its start: lost by the counters without a line */
	uint64_t dropped; /* lines, by its reports */
	uint64_t dropped_counted; /* lines, by its counter; includes those not reported yet */
	char key[];
};

/* What a line says about a lost request. */
typedef struct lw_account_loss {
	uint32_t cause;
	lw_str_t id; /* points into the line */
	const char *service; /* interned, like the others */
	const char *route;
	const char *org;
} lw_account_loss_t;

void lw_account_add_loss(lw_account_t *a, lw_account_row_t *r, uint32_t cause, uint64_t seen,
			 uint64_t estimated);
lw_account_row_t *lw_account_row_of(lw_account_t *a, const lw_account_process_t *p,
				    const lw_account_loss_t *loss);
void lw_account_settle(lw_account_t *a, lw_account_process_t *p);
void lw_account_end_unchecked(lw_account_t *a, lw_account_process_t *p);
void lw_account_read_summary(lw_account_t *a, lw_account_process_t *p, const char *fields);
void lw_account_begin_process(lw_account_t *a, lw_account_process_t *p);
void lw_account_read_dropped(lw_account_t *a, lw_account_process_t *p, uint64_t at_s,
			     uint64_t lines);

#endif
