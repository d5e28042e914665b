/* Connections of other nodes that are over; see meshpast.h. */
#include "meshclosed.h"

#include <stddef.h>

/* nobody asks after a request of a connection that was over so long ago, us */
#define QUERY_MAX_AGE_US 60000000

static lw_closed_link_t *find(const lw_meshclosed_t *p, uint64_t name)
{
	uint32_t n = p->count < LW_MESHCLOSED_MAX ? p->count : LW_MESHCLOSED_MAX;

	for (uint32_t i = 0; i < n; i++)
		if (p->links[i].name == name)
			return (lw_closed_link_t *)&p->links[i];
	return NULL;
}

/*
 * lw_meshpast_note() - connection @name will bring nothing more; it brought the
 * requests with ids below @opened. @now_us: steady clock.
 */
void lw_meshclosed_add(lw_meshclosed_t *p, uint64_t name, uint32_t opened, uint64_t now_us)
{
	lw_closed_link_t *at = find(p, name);

	if (!name)
		return;
	if (!at) {
		at = &p->links[p->count++ % LW_MESHCLOSED_MAX];
		if (at->name)
			p->evicted_us = at->closed_us;
	}
	*at = (lw_closed_link_t){ .name = name, .closed_us = now_us, .opened = opened };
}

/* lw_meshpast_has() - whether connection @name may bring nothing more. */
bool lw_meshclosed_has(const lw_meshclosed_t *p, uint64_t name)
{
	return name && find(p, name);
}

/*
 * lw_meshpast_never() - whether request @id of connection @name, which is not open
 * now, never reached this process. One of a connection that may have been
 * forgotten may have run.
 */
bool lw_meshclosed_never_received(const lw_meshclosed_t *p, uint64_t name, uint32_t id,
				  uint64_t now_us)
{
	const lw_closed_link_t *at = find(p, name);

	if (at)
		return id >= at->opened;
	return !p->evicted_us || now_us - p->evicted_us > QUERY_MAX_AGE_US;
}
