/*
 * Passes the newest snapshot from one thread to another without locks. Neither thread
 * waits; an older snapshot that was not taken yet is released.
 */
#ifndef LW_MAILBOX_H
#define LW_MAILBOX_H

#include <ev.h>
#include <stddef.h>

typedef struct lw_mailbox {
	void *slot;
	void (*release)(void *snapshot);
	struct ev_loop *loop; /* event loop to wake up for a new snapshot; may be NULL */
	ev_async *wake;
} lw_mailbox_t;

void lw_mailbox_put(lw_mailbox_t *m, void *snapshot);
void *lw_mailbox_take(lw_mailbox_t *m);

#endif
