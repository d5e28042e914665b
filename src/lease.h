/*
 * The lease of the backend server on this host: its entry in the store, which
 * lapses when its heartbeats do not arrive. Failure it guards against: hosts
 * are cut off from the store, the entries of their servers lapse, and a
 * service whose servers all live and can be reached is without servers.
 *
 * A missing entry does not tell whether its server left. The node beside the
 * server can: it knows whether it reaches the store itself, and it can ask the
 * server. No I/O; the time is given. States and transitions: docs/DESIGN.md.
 */
#ifndef LW_LEASE_H
#define LW_LEASE_H

#include <stdbool.h>
#include <stdint.h>

typedef enum lw_lease_state {
	LW_LEASE_HELD, /* the entry is there */
	LW_LEASE_LAPSED, /* it is missing, the cause is not known yet */
	LW_LEASE_CUT, /* this node cannot read the store, its server is healthy */
	LW_LEASE_RETURNING, /* the store is read again, the entry is due back */
	LW_LEASE_GONE, /* the server left, or nothing shows that it lives */
	LW_LEASE_STATES
} lw_lease_state_t;

/* Why the state is what it is; for the log. */
typedef enum lw_lease_cause {
	LW_LEASE_CAUSE_LIST, /* the entry is in the list, or is not */
	LW_LEASE_CAUSE_SERVER, /* the server says that it leaves, or another is there */
	LW_LEASE_CAUSE_STORE, /* the store was read, or could not be */
	LW_LEASE_CAUSE_TIME, /* no evidence came in time */
} lw_lease_cause_t;

typedef struct lw_lease {
	lw_lease_state_t state;
	lw_lease_cause_t cause;
	uint64_t lapsed_us; /* when the entry was found missing */
	uint64_t returned_us; /* when the store was first read again */
	bool server_left; /* it is certain that the server is not to be used */
} lw_lease_t;

/* What the node beside the server knows; times as of the same clock, 0: never. */
typedef struct lw_lease_evidence {
	uint64_t now_us;
	uint64_t store_read_us; /* this node last read the store */
	uint64_t store_failed_us; /* it last failed to */
	bool pending; /* a call has had no answer for LW_LEASE_PENDING_US */
	uint64_t healthy_us; /* the server last said that it is healthy */
	bool leaving; /* it said otherwise, refuses connections, or is another one */
} lw_lease_evidence_t;

/* How long a call to the store may take before it counts as failing, us. */
#define LW_LEASE_PENDING_US 400000

void lw_lease_entry_found(lw_lease_t *l);
void lw_lease_entry_missing(lw_lease_t *l, uint64_t now_us);
bool lw_lease_step(lw_lease_t *l, const lw_lease_evidence_t *ev);
bool lw_lease_in_use(const lw_lease_t *l);
bool lw_lease_asserts_liveness(const lw_lease_t *l, const lw_lease_evidence_t *ev);
const char *lw_lease_state_name(lw_lease_state_t s);
const char *lw_lease_cause_name(lw_lease_cause_t c);

#endif
