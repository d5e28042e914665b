/*
 * Incoming connections that are closed or from which nothing more is accepted. An outcome
 * query can be read before the connection that carries the request itself. The entries
 * distinguish a connection that this process has evicted, whose requests may have been
 * executed, from one that never reached it.
 */
#ifndef LW_MESHCLOSED_H
#define LW_MESHCLOSED_H

#include <stdbool.h>
#include <stdint.h>

/* maximum number of entries; the oldest is evicted first */
#define LW_MESHCLOSED_MAX 1024

typedef struct lw_closed_link {
	uint64_t name;
	uint64_t closed_us;
	uint32_t opened; /* all stream ids received on it are below this */
} lw_closed_link_t;

typedef struct lw_meshclosed {
	lw_closed_link_t links[LW_MESHCLOSED_MAX];
	uint32_t count; /* entries added so far; each new one replaces the oldest */
	uint64_t evicted_us; /* close time of the newest evicted entry; 0: none was evicted */
} lw_meshclosed_t;

void lw_meshclosed_add(lw_meshclosed_t *c, uint64_t name, uint32_t opened, uint64_t now_us);
bool lw_meshclosed_has(const lw_meshclosed_t *c, uint64_t name);
bool lw_meshclosed_never_received(const lw_meshclosed_t *c, uint64_t name, uint32_t id,
				  uint64_t now_us);

#endif
