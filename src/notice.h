/*
 * What a backend server announces about itself in response headers, in addition to its
 * entry in the store, and what nodes report to each other about it. Load pattern: a server
 * is leaving or overloaded, and its responses show this before the store does, or while
 * the store cannot be read. No I/O; the caller passes the time.
 */
#ifndef LW_NOTICE_H
#define LW_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"
#include "wirenames.h"

/* The announcements of one response. */
typedef struct lw_notice_fields {
	bool leaving;
	bool limited;
	bool limit_invalid; /* the limit is not a number or is given twice; it is ignored */
	double limit_per_s; /* requests per second accepted from all hosts together */
} lw_notice_fields_t;

/* The newest limit that a server process has announced. */
typedef struct lw_notice_limit {
	bool on;
	double per_s;
	uint64_t updated_us; /* when the last response was applied; 0: none was */
} lw_notice_limit_t;

/* What the node on the host of a backend server knows about it. */
typedef struct lw_notice {
	uint64_t server; /* digest of its id; 0: nothing is known */
	uint64_t born_ms; /* start time of the process in the server list; 0: unknown */
	bool leaving;
	bool limited;
	double limit_per_s;
	/*
	 * when an answer showed whether the server is leaving, Unix time of its host in ms;
	 * 0: only the list has shown that, or the node runs a version that does not report it
	 */
	uint64_t seen_ms;
} lw_notice_t;

void lw_notice_parse_field(lw_notice_fields_t *fields, lw_header_t meaning, lw_str_t value);
void lw_notice_parse_head(lw_notice_fields_t *fields, lw_str_t head, const lw_wirenames_t *names);
uint64_t lw_notice_server_digest(const char *id);
bool lw_notice_limit_from_response(lw_notice_limit_t *l, const lw_notice_fields_t *fields,
				   uint64_t sent_us, uint64_t now_us);
bool lw_notice_limit_from_peer(lw_notice_limit_t *l, double per_s);
bool lw_notice_is_about(const lw_notice_t *n, const char *id);
bool lw_notice_matches(const lw_notice_t *n, const char *id, uint64_t born_ms);

#endif
