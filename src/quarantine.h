/*
 * Requests that backend servers crashed on, and how further copies of these requests are
 * handled. Load pattern: callers retry a request at any host, and each server that starts
 * to execute it crashes, together with all its requests in flight.
 *
 * A crash does not show which request caused it. A request that was in flight at two
 * crashes is therefore executed alone: one at a time in the whole fleet, at one server,
 * without a retry. If that server crashes as well, the request is held back for a time,
 * which grows with each failed trial. An answer from any server clears the request.
 *
 * Nodes exchange what they know about a request; these reports may arrive out of order,
 * twice or late. No I/O; the caller passes the time.
 */
#ifndef LW_QUARANTINE_H
#define LW_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fingerprint.h"

/* Number of distinct crashes that are stored per request; more of them change nothing. */
#define LW_SUSPECT_CRASHES_MAX 4
/* Maximum number of requests that are remembered. */
#define LW_QUARANTINE_MAX 1024

typedef enum lw_quarantine_verdict {
	LW_QUARANTINE_CLEAR,
	LW_QUARANTINE_TRIAL, /* execute it alone */
	LW_QUARANTINE_HELD, /* do not send it to any server */
} lw_quarantine_verdict_t;

/* What is known about one request. Times are of one clock, 0: never. */
typedef struct lw_suspect {
	lw_fingerprint_t print;
	uint64_t crashed_process
		[LW_SUSPECT_CRASHES_MAX]; /* processes that crashed with it in flight */
	uint32_t ncrashes;
	uint32_t trials; /* trials that crashed their servers */
	uint64_t last_crash_us; /* time of the newest crash */
	uint64_t held_until_us;
	uint64_t cleared_us; /* time of the last answer; crashes before it do not count */
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
const lw_suspect_t *lw_quarantine_merge(lw_quarantine_t *q, const lw_suspect_t *report,
					uint64_t now_us);
bool lw_suspect_is_restricted(const lw_suspect_t *s);
size_t lw_quarantine_list(const lw_quarantine_t *q, const lw_suspect_t **out, size_t most);
size_t lw_quarantine_count(const lw_quarantine_t *q);
void lw_quarantine_expire(lw_quarantine_t *q, uint64_t now_us);

#endif
