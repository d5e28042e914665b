/*
 * Selects the nodes that are quota coordinators (quotacoord.h). Every node derives the
 * same ones from the list of backend servers. No I/O.
 */
#ifndef LW_QUOTACHOICE_H
#define LW_QUOTACHOICE_H

#include <stdint.h>

#include "fleetconf.h"
#include "quota.h"

uint32_t lw_quotachoice_coordinators(const lw_serverlist_t *sl, char out[][LW_NAME_MAX]);

#endif
