/*
 * Entries of backend servers as they are written to and removed from the store, and which
 * of these servers count as present. Failure it guards against: while the store is
 * unreachable, entries expire although their servers are alive; removing them would empty
 * the fleet as soon as the store returns. A store that is restored from an older copy
 * lacks what was written since, and still contains what was removed since. Revisions are
 * positions in the store's history (storepos.h). No I/O; the caller passes the time.
 */
#ifndef LW_SERVERSET_H
#define LW_SERVERSET_H

#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"
#include "removal.h"

typedef struct lw_serverset lw_serverset_t;

/* An entry that had no effect. */
typedef struct lw_serverset_overruled {
	const lw_server_entry_t *by; /* the entry in force; NULL: the new one had its effect */
	bool again; /* the last one without effect said the same */
} lw_serverset_overruled_t;

/* Called for the entry @e, which was last seen to be @written and then @removed. */
typedef void (*lw_serverset_removed_fn)(void *ctx, const lw_server_entry_t *e, bool withdrawn,
					lw_span_t written, lw_span_t removed);

lw_serverset_t *lw_serverset_new(void);
void lw_serverset_free(lw_serverset_t *s);
void lw_serverset_set_expiry(lw_serverset_t *s, lw_expiry_t expiry);
void lw_serverset_on_removed(lw_serverset_t *s, lw_serverset_removed_fn fn, void *ctx);
void lw_serverset_observe(lw_serverset_t *s, lw_span_t when);
void lw_serverset_set_services(lw_serverset_t *s, const lw_fleetconf_t *fc);
lw_serverset_overruled_t lw_serverset_put(lw_serverset_t *s, const lw_server_entry_t *e);
void lw_serverset_remove(lw_serverset_t *s, const char *id, uint64_t revision);
void lw_serverset_invalidate(lw_serverset_t *s, const char *id, uint64_t revision);
void lw_serverset_complete(lw_serverset_t *s, uint64_t pos);
void lw_serverset_begin_read(lw_serverset_t *s);
void lw_serverset_end_read(lw_serverset_t *s);
void lw_serverset_replace(lw_serverset_t *s, const lw_serverlist_t *in_use, uint64_t now_us);
void lw_serverset_begin_restore(lw_serverset_t *s);
void lw_serverset_end_restore(lw_serverset_t *s, uint64_t now_us, uint64_t revision);
void lw_serverset_resume(lw_serverset_t *s);
void lw_serverset_store_unreachable(lw_serverset_t *s, uint64_t last_us);
void lw_serverset_store_reachable(lw_serverset_t *s, uint64_t now_us, uint64_t revision);
bool lw_serverset_empty(const lw_serverset_t *s);
lw_serverlist_t *lw_serverset_take_changes(lw_serverset_t *s, uint64_t now_us);

#endif
