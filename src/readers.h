/*
 * Which nodes read the store for all. Load pattern: the store's rate is
 * shared by the fleet and grows more slowly than it. Every node works out the
 * same few readers from the list of backend servers; the others hear from
 * them, and read themselves as soon as that news grows old. No I/O.
 */
#ifndef LW_READERS_H
#define LW_READERS_H

#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"

/*
 * Two readers: one may stop without anyone having to notice. With none left,
 * news is old after LW_NEWS_OLD_MS and every node reads, in time for changes
 * to be in force within two seconds.
 */
#define LW_READERS 2
/* readers tell every 0.7 s; one message may be late by half of that, ms */
#define LW_NEWS_OLD_MS 1050
/* a node that had to read itself goes on for so long, ms */
#define LW_READ_LEAST_MS 2500

bool lw_readers_include(const lw_serverlist_t *sl, const char *backend);

#endif
