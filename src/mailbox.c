/* Passing snapshots between threads; see mailbox.h. */
#include "mailbox.h"

#include <urcu-bp.h>

/* lw_mailbox_put() - stores @snapshot; releases the previous one if it was not taken. */
void lw_mailbox_put(lw_mailbox_t *m, void *snapshot)
{
	void *old = rcu_xchg_pointer(&m->slot, snapshot);

	if (old)
		m->release(old);
	if (m->loop)
		ev_async_send(m->loop, m->wake);
}

/* lw_mailbox_take() - returns the newest snapshot; NULL if there is no new one. */
void *lw_mailbox_take(lw_mailbox_t *m)
{
	return rcu_xchg_pointer(&m->slot, NULL);
}
