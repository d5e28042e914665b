/*
 * Lease state of the backend server on this host. The lease is the server's entry in the
 * store, which expires when its heartbeats do not arrive. Failure it guards against: hosts
 * are partitioned from the store, the entries of their servers expire, and a service whose
 * servers are all alive and reachable is left without servers.
 *
 * A missing entry does not show whether its server has left. The node on the same host can
 * find out: it knows whether it reaches the store itself, and it can query the server. No
 * I/O; the caller passes the time. States and transitions: docs/DESIGN.md.
 */
#ifndef LW_LEASE_H
#define LW_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "removal.h"

typedef enum lw_lease_state {
	LW_LEASE_HELD, /* the entry is in the store */
	LW_LEASE_LAPSED, /* the entry is missing, the cause is not known yet */
	LW_LEASE_CUT, /* this node cannot read the store, its server is healthy */
	LW_LEASE_RETURNING, /* the store is readable again, the server is expected to re-register */
	LW_LEASE_GONE, /* the server left, or nothing shows that it is alive */
	LW_LEASE_STATES
} lw_lease_state_t;

/* Reason for the current state, for the log. */
typedef enum lw_lease_cause {
	LW_LEASE_CAUSE_LIST, /* the entry is or is not in the server list, or was withdrawn */
	LW_LEASE_CAUSE_SERVER, /* the server must not be used: lw_lease_evidence_t.leaving */
	LW_LEASE_CAUSE_STORE, /* the store was read, or could not be read */
	LW_LEASE_CAUSE_TIME, /* no evidence arrived in time */
} lw_lease_cause_t;

typedef struct lw_lease {
	lw_lease_state_t state;
	lw_lease_cause_t cause;
	uint64_t lapsed_us; /* time when the entry was found missing */
	uint64_t read_us; /* time of the first read of the store after that; 0: none yet */
	uint64_t cut_us; /* time when calls to the store were last found to fail */
	uint64_t returned_us; /* time when the store was read again after the last failed calls */
	bool server_left; /* it is certain that the server must not be used */
} lw_lease_t;

/* What the node knows about its server and the store. Times are of one clock, 0: never. */
typedef struct lw_lease_evidence {
	uint64_t now_us;
	uint64_t store_read_us; /* last successful read of the store */
	uint64_t store_failed_us; /* last failed read of the store */
	uint32_t failed_in_row; /* reads that failed since the last successful one */
	bool pending; /* a call to the store has been unanswered for LW_LEASE_PENDING_US */
	uint64_t healthy_us; /* last time the server reported that it is healthy */
	/* the server is leaving or unhealthy, refuses connections, or was replaced */
	bool leaving;
} lw_lease_evidence_t;

/* What is known of an entry when it is found missing. */
typedef struct lw_lease_loss {
	uint64_t now_us;
	uint64_t
		store_read_us; /* when this node read the store while the entry was there; 0: never */
	bool withdrawn; /* a reader of the store saw that it cannot have expired */
	lw_expiry_t expiry;
} lw_lease_loss_t;

/* A call to the store that takes longer than this counts as failing, us. */
#define LW_LEASE_PENDING_US 400000

void lw_lease_entry_found(lw_lease_t *l);
void lw_lease_entry_missing(lw_lease_t *l, const lw_lease_loss_t *loss);
bool lw_lease_step(lw_lease_t *l, const lw_lease_evidence_t *ev);
bool lw_lease_in_use(const lw_lease_t *l);
bool lw_lease_asserts_liveness(const lw_lease_t *l, const lw_lease_evidence_t *ev);
const char *lw_lease_state_name(lw_lease_state_t s);
const char *lw_lease_cause_name(lw_lease_cause_t c);

#endif
