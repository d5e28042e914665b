/*
 * Connections of other nodes that are over, or may bring nothing more. A question
 * what became of a request can be read before the connection that brings the
 * request: what this process remembers of connections tells one that it has
 * forgotten, whose requests may have run, from one that never reached it.
 */
#ifndef LW_MESHPAST_H
#define LW_MESHPAST_H

#include <stdbool.h>
#include <stdint.h>

/* connections that are remembered; the oldest is forgotten first */
#define LW_MESHPAST_MAX 1024

typedef struct lw_pastlink {
	uint64_t name;
	uint64_t noted_us;
	uint32_t opened; /* requests that it brought: their ids are below this */
} lw_pastlink_t;

typedef struct lw_meshpast {
	lw_pastlink_t links[LW_MESHPAST_MAX];
	uint32_t noted; /* so far; the next one takes the place of the oldest */
	uint64_t forgotten_us; /* when the last one that is forgotten was noted; 0: none */
} lw_meshpast_t;

void lw_meshpast_note(lw_meshpast_t *p, uint64_t name, uint32_t opened, uint64_t now_us);
bool lw_meshpast_has(const lw_meshpast_t *p, uint64_t name);
bool lw_meshpast_never(const lw_meshpast_t *p, uint64_t name, uint32_t id, uint64_t now_us);

#endif
