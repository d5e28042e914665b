/*
 * The backend servers' entries as they come and go in the store, and which of
 * them count as there. Failure it guards against: while the store is away
 * entries lapse although their servers live; taking them as gone empties the
 * fleet the moment the store returns. A store that returns from an older copy lacks
 * what was written since, and has what was removed since. Revisions are places in
 * its history (storepos.h). No I/O; the time is given.
 */
#ifndef LW_SERVERSET_H
#define LW_SERVERSET_H

#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"

typedef struct lw_serverset lw_serverset_t;

lw_serverset_t *lw_serverset_new(void);
void lw_serverset_free(lw_serverset_t *s);
void lw_serverset_set_services(lw_serverset_t *s, const lw_fleetconf_t *fc);
void lw_serverset_put(lw_serverset_t *s, const lw_server_entry_t *e);
void lw_serverset_remove(lw_serverset_t *s, const char *id, uint64_t revision);
void lw_serverset_begin_read(lw_serverset_t *s);
void lw_serverset_end_read(lw_serverset_t *s);
void lw_serverset_replace(lw_serverset_t *s, const lw_serverlist_t *in_use);
void lw_serverset_begin_restore(lw_serverset_t *s);
void lw_serverset_end_restore(lw_serverset_t *s, uint64_t now_us, uint64_t revision);
void lw_serverset_resume(lw_serverset_t *s);
void lw_serverset_store_unreachable(lw_serverset_t *s, uint64_t last_us);
void lw_serverset_store_reachable(lw_serverset_t *s, uint64_t now_us, uint64_t revision);
bool lw_serverset_empty(const lw_serverset_t *s);
lw_serverlist_t *lw_serverset_take_changes(lw_serverset_t *s, uint64_t now_us);

#endif
