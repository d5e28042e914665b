/*
 * Requests under which backend servers ended, and what is done with them when they
 * come again. Load pattern: callers repeat a request at any host, and each server
 * that begins to run it ends, with all that it has in hand.
 *
 * A server that ends says nothing of which request was the cause. So what was in
 * hand at two ends is tried alone: one at a time in the fleet, at one server, and
 * not repeated. If that server ends, too, the request is held back for a time, longer
 * after each trial that fails. An answer, anywhere, clears it.
 *
 * Nodes tell each other what they know of a request; what is told may come in any
 * order, twice or late. No I/O; the time is given.
 */
#ifndef LW_QUARANTINE_H
#define LW_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fingerprint.h"

/* Ends that are told apart: more of them change nothing. */
#define LW_SUSPECT_CRASHES_MAX 4
/* Requests that are remembered at most. */
#define LW_QUARANTINE_MAX 1024

typedef enum lw_quarantine_verdict {
	LW_QUARANTINE_CLEAR,
	LW_QUARANTINE_TRIAL, /* to be tried alone */
	LW_QUARANTINE_HELD, /* not to be given to any server */
} lw_quarantine_verdict_t;

/* What is known of one request; times are of the same clock, 0: never. */
typedef struct lw_suspect {
	lw_fingerprint_t print;
	uint64_t end[LW_SUSPECT_CRASHES_MAX]; /* processes that ended with it in hand */
	uint32_t ncrashes;
	uint32_t trials; /* that ended their servers */
	uint64_t last_crash_us; /* the newest end */
	uint64_t held_until_us;
	uint64_t cleared_us; /* an answer came; ends before it do not count */
} lw_suspect_t;

typedef struct lw_quarantine lw_quarantine_t;

lw_quarantine_t *lw_quarantine_new(void);
void lw_quarantine_free(lw_quarantine_t *q);
lw_quarantine_verdict_t lw_quarantine_verdict(lw_quarantine_t *q, const lw_fingerprint_t *print,
					      uint64_t now_us);
const lw_suspect_t *lw_quarantine_find(const lw_quarantine_t *q, const lw_fingerprint_t *print);
bool lw_quarantine_needs_body(const lw_quarantine_t *q, uint64_t head);
uint32_t lw_quarantine_held_ms(const lw_quarantine_t *q, const lw_fingerprint_t *print,
			       uint64_t now_us);
const lw_suspect_t *lw_quarantine_server_crashed(lw_quarantine_t *q, const lw_fingerprint_t *print,
						 uint64_t process, bool tried, uint64_t now_us);
const lw_suspect_t *lw_quarantine_answered(lw_quarantine_t *q, const lw_fingerprint_t *print,
					   uint64_t now_us);
const lw_suspect_t *lw_quarantine_merge(lw_quarantine_t *q, const lw_suspect_t *told,
					uint64_t now_us);
bool lw_suspect_is_restricted(const lw_suspect_t *s);
size_t lw_quarantine_list(const lw_quarantine_t *q, const lw_suspect_t **out, size_t most);
size_t lw_quarantine_count(const lw_quarantine_t *q);
void lw_quarantine_expire(lw_quarantine_t *q, uint64_t now_us);

#endif
