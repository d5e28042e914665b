/*
 * Removed entries of backend servers: withdrawn by servers that left, or expired, as no heartbeat
 * arrived. Failure it guards against: a server that left without a drain is taken for one whose
 * host is partitioned from the store, and gets work until somebody notices. An entry expires
 * after some heartbeats without a write and no sooner. So an entry that was seen to be written
 * shortly before cannot have expired. The reverse is not known, as the store need not show a
 * heartbeat that changes nothing else. No I/O; the caller passes the time.
 */
#ifndef LW_REMOVAL_H
#define LW_REMOVAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How long entries live. */
typedef struct lw_expiry {
	uint64_t after_us; /* from the last write of an entry until it expires; 0: not known */
	uint64_t
		heartbeat_us; /* longest time between two writes of a server that reaches the store */
} lw_expiry_t;

/* When something happened, as far as known, us. */
typedef struct lw_span {
	uint64_t from_us; /* not before; 0: unknown */
	uint64_t to_us; /* not after; 0: unknown */
} lw_span_t;

/* An entry that was withdrawn. */
typedef struct lw_withdrawn {
	const char *id;
	uint64_t born_ms; /* start of the server's process; 0: unknown */
	uint64_t at_us; /* when the removal was read; not sent to other nodes */
} lw_withdrawn_t;

/* How many withdrawn entries are remembered. */
#define LW_WITHDRAWN_MAX 64

/* The entries withdrawn recently, oldest first. */
typedef struct lw_withdrawnlist {
	lw_withdrawn_t entry[LW_WITHDRAWN_MAX];
	size_t n;
} lw_withdrawnlist_t;

lw_expiry_t lw_expiry(double heartbeat_s);
bool lw_expiry_withdrawn(const lw_expiry_t *x, lw_span_t written, lw_span_t removed);
bool lw_expiry_possible(const lw_expiry_t *x, uint64_t reached_us, uint64_t removed_us);
void lw_withdrawnlist_add(lw_withdrawnlist_t *l, const lw_withdrawn_t *w);
void lw_withdrawnlist_forget(lw_withdrawnlist_t *l, const char *id);
void lw_withdrawnlist_expire(lw_withdrawnlist_t *l, uint64_t now_us);
bool lw_withdrawn_has(const lw_withdrawn_t *list, size_t n, const char *id, uint64_t born_ms);

#endif
