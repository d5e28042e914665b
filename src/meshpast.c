/* Connections of other nodes that are over; see meshpast.h. */
#include "meshpast.h"

#include <stddef.h>

/* nobody asks after a request of a connection that was over so long ago, us */
#define ASKED_WITHIN_US 60000000

static lw_pastlink_t *find(const lw_meshpast_t *p, uint64_t name)
{
	uint32_t n = p->noted < LW_MESHPAST_MAX ? p->noted : LW_MESHPAST_MAX;

	for (uint32_t i = 0; i < n; i++)
		if (p->links[i].name == name)
			return (lw_pastlink_t *)&p->links[i];
	return NULL;
}

/*
 * lw_meshpast_note() - connection @name will bring nothing more; it brought the
 * requests with ids below @opened. @now_us: steady clock.
 */
void lw_meshpast_note(lw_meshpast_t *p, uint64_t name, uint32_t opened, uint64_t now_us)
{
	lw_pastlink_t *at = find(p, name);

	if (!name)
		return;
	if (!at) {
		at = &p->links[p->noted++ % LW_MESHPAST_MAX];
		if (at->name)
			p->forgotten_us = at->noted_us;
	}
	*at = (lw_pastlink_t){ .name = name, .noted_us = now_us, .opened = opened };
}

/* lw_meshpast_has() - whether connection @name may bring nothing more. */
bool lw_meshpast_has(const lw_meshpast_t *p, uint64_t name)
{
	return name && find(p, name);
}

/*
 * lw_meshpast_never() - whether request @id of connection @name, which is not open
 * now, never reached this process. One of a connection that may have been
 * forgotten may have run.
 */
bool lw_meshpast_never(const lw_meshpast_t *p, uint64_t name, uint32_t id, uint64_t now_us)
{
	const lw_pastlink_t *at = find(p, name);

	if (at)
		return id >= at->opened;
	return !p->forgotten_us || now_us - p->forgotten_us > ASKED_WITHIN_US;
}
