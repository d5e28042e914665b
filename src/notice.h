/*
 * What a backend server announces of itself in the heads of its answers, beside
 * its entry in the store, and what nodes tell each other of that. Load pattern: a
 * server leaves or is in need, and its answers say so before the store does, or
 * while the store cannot be read. No I/O; the time is given.
 */
#ifndef LW_NOTICE_H
#define LW_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"
#include "wirenames.h"

/* What one answer says. */
typedef struct lw_notice_fields {
	bool leaving;
	bool limited;
	bool limit_invalid; /* it names one that is no number, or two: that says nothing */
	double limit_per_s; /* requests a second that the server takes from all hosts */
} lw_notice_fields_t;

/* The limit that a process of a server has named so far. */
typedef struct lw_notice_limit {
	bool on;
	double per_s;
	uint64_t updated_us; /* when its newest word came; 0: none did */
} lw_notice_limit_t;

/* What is known of one process of a backend server. */
typedef struct lw_notice {
	uint64_t server; /* digest of its id; 0: nothing is known */
	uint64_t born_ms; /* start of the process; 0: not told */
	bool leaving; /* never taken back */
	bool limited;
	double limit_per_s;
} lw_notice_t;

void lw_notice_parse_field(lw_notice_fields_t *said, lw_header_t meaning, lw_str_t value);
void lw_notice_parse_head(lw_notice_fields_t *said, lw_str_t head, const lw_wirenames_t *names);
uint64_t lw_notice_server_digest(const char *id);
bool lw_notice_limit_from_response(lw_notice_limit_t *l, const lw_notice_fields_t *said,
				   uint64_t sent_us, uint64_t now_us);
bool lw_notice_limit_from_peer(lw_notice_limit_t *l, double per_s);
bool lw_notice_matches(const lw_notice_t *n, const char *id, uint64_t born_ms);

#endif
