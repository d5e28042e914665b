/* Internal state of the set of entries, shared by serverset.c and serversetlist.c. */
#ifndef LW_SERVERSET_INT_H
#define LW_SERVERSET_INT_H

#include <uthash.h>

#include "removal.h"
#include "serverset.h"

/*
 * An entry that only the restored copy of the store contains belongs to a server that
 * left, or to one that has just started; a late write of a process that has ended looks like
 * one of the process that runs. Within three heartbeats the entry either expires or is
 * written again. Unit us.
 */
#define UNPROVEN_US 5000000

typedef struct lw_member {
	lw_server_entry_t entry;
	lw_server_entry_t overruled; /* the last one that had no effect; id NULL: none */
	lw_server_entry_t contender; /* of another process, in doubt; id NULL: none */
	uint64_t contender_us; /* since when; 0: since the last read */
	lw_span_t written; /* when it was written last */
	bool withdrawn; /* missing, and it cannot have expired */
	bool unproven; /* read from a restored copy of the store and not known before */
	bool missing; /* removed from the store, but still counts as present */
	bool seen; /* found in the current read */
	UT_hash_handle hh;
	UT_hash_handle by_addr;
} lw_member_t;

struct lw_serverset {
	lw_member_t *members;
	uint64_t unreachable_since_us; /* since when the store has not answered; 0: it answers */
	uint64_t reachable_revision; /* revision of the store when it became reachable */
	uint64_t hold_until_us; /* until when missing entries still count */
	bool restoring; /* the current read is of a restored copy of the store */
	uint64_t unproven_until_us; /* unproven entries do not count until then; 0: none */
	uint64_t complete; /* position up to which all writes are known; 0: none */
	bool any_missing; /* some entries are missing and still count */
	bool any_contender; /* some entries are contested */
	lw_span_t observed; /* when what is being read was written or removed */
	lw_expiry_t expiry;
	lw_withdrawnlist_t withdrawn;
	lw_serverset_removed_fn on_removed; /* may be NULL */
	void *on_removed_ctx;
	bool changed;
	lw_fleetconf_t *known_services; /* services named by the configuration; NULL: not set yet */
};

void lw_serverset_member_free(lw_serverset_t *s, lw_member_t *m);
void lw_serverset_member_gone(lw_serverset_t *s, lw_member_t *m);
void lw_serverset_accept(lw_serverset_t *s, lw_member_t *m, bool proven);
void lw_member_drop_contender(lw_member_t *m);

#endif
