/*
 * Hosts of the placement sorted by id or by the address of their node. A list is compared with
 * the hosts known so far, and both grow with the fleet: without an index the work would grow with
 * its square. An index is valid until a host is added or removed; free() its array.
 */
#ifndef LW_PLACEINDEX_H
#define LW_PLACEINDEX_H

#include <stdbool.h>
#include <stddef.h>

#include "place.h"

typedef struct lw_place_index {
	lw_place_host_t **host;
	size_t n;
} lw_place_index_t;

lw_place_index_t lw_place_index_by_id(const lw_place_t *p);
lw_place_index_t lw_place_index_listed_by_node(const lw_place_t *p);
size_t lw_place_index_first(const lw_place_index_t *x, const char *id);
bool lw_place_index_has_node(const lw_place_index_t *x, const char *node);

#endif
