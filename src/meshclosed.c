/* Closed connections of other nodes; see meshclosed.h. */
#include "meshclosed.h"

#include <stddef.h>

/* maximum age of a closed connection whose requests may still be queried, us */
#define QUERY_MAX_AGE_US 60000000

static lw_closed_link_t *find(const lw_meshclosed_t *c, uint64_t name)
{
	uint32_t n = c->count < LW_MESHCLOSED_MAX ? c->count : LW_MESHCLOSED_MAX;

	for (uint32_t i = 0; i < n; i++)
		if (c->links[i].name == name)
			return (lw_closed_link_t *)&c->links[i];
	return NULL;
}

/*
 * lw_meshclosed_add() - records that connection @name delivers nothing more. All stream ids
 * received on it are below @opened. @now_us: boot time.
 */
void lw_meshclosed_add(lw_meshclosed_t *c, uint64_t name, uint32_t opened, uint64_t now_us)
{
	lw_closed_link_t *at = find(c, name);

	if (!name)
		return;
	if (!at) {
		at = &c->links[c->count++ % LW_MESHCLOSED_MAX];
		if (at->name)
			c->evicted_us = at->closed_us;
	}
	*at = (lw_closed_link_t){ .name = name, .closed_us = now_us, .opened = opened };
}

/* lw_meshclosed_has() - returns true if requests on connection @name are no longer accepted. */
bool lw_meshclosed_has(const lw_meshclosed_t *c, uint64_t name)
{
	return name && find(c, name);
}

/*
 * lw_meshclosed_never_received() - returns true if request @id of connection @name, which
 * is not open now, never reached this process. Returns false if the connection may have
 * been evicted, as its requests may have been executed.
 */
bool lw_meshclosed_never_received(const lw_meshclosed_t *c, uint64_t name, uint32_t id,
				  uint64_t now_us)
{
	const lw_closed_link_t *at = find(c, name);

	if (at)
		return id >= at->opened;
	return !c->evicted_us || now_us - c->evicted_us > QUERY_MAX_AGE_US;
}
