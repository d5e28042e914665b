/*
 * Connections of other nodes that are over, or may bring nothing more. A question
 * what became of a request can be read before the connection that brings the
 * request: what this process remembers of connections tells one that it has
 * forgotten, whose requests may have run, from one that never reached it.
 */
#ifndef LW_MESHCLOSED_H
#define LW_MESHCLOSED_H

#include <stdbool.h>
#include <stdint.h>

/* connections that are remembered; the oldest is forgotten first */
#define LW_MESHCLOSED_MAX 1024

typedef struct lw_closed_link {
	uint64_t name;
	uint64_t closed_us;
	uint32_t opened; /* requests that it brought: their ids are below this */
} lw_closed_link_t;

typedef struct lw_meshclosed {
	lw_closed_link_t links[LW_MESHCLOSED_MAX];
	uint32_t count; /* so far; the next one takes the place of the oldest */
	uint64_t evicted_us; /* when the last one that is forgotten was noted; 0: none */
} lw_meshclosed_t;

void lw_meshclosed_add(lw_meshclosed_t *p, uint64_t name, uint32_t opened, uint64_t now_us);
bool lw_meshclosed_has(const lw_meshclosed_t *p, uint64_t name);
bool lw_meshclosed_never_received(const lw_meshclosed_t *p, uint64_t name, uint32_t id,
				  uint64_t now_us);

#endif
