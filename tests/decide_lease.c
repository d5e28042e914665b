/* Script commands for the lease of the backend server on this host. */
#include <string.h>

#include "decide.h"

/* interval of the heartbeats that write the entry, s */
#define HEARTBEAT_S 1.5

/*
 * lease found | lease missing AT [READ [withdrawn]]: the node last read the store at READ while the
 * entry was there.
 */
static void do_lease(world_t *w, const words_t *a)
{
	lw_lease_loss_t loss = { .now_us = ms(a, 2),
				 .store_read_us = ms(a, 3),
				 .withdrawn = has(a, "withdrawn"),
				 .expiry = lw_expiry(HEARTBEAT_S) };

	if (strcmp(word(a, 1), "found") == 0)
		lw_lease_entry_found(&w->lease);
	else
		lw_lease_entry_missing(&w->lease, &loss);
}

/*
 * step NOW read AT failed AT healthy AT [leaving] [pending] [once]: what the node of the server has
 * observed. Two calls have failed in a row, or one (once).
 */
static void do_step(world_t *w, const words_t *a)
{
	lw_lease_evidence_t ev = {
		.now_us = ms(a, 1),
		.store_read_us = ms(a, 3),
		.store_failed_us = ms(a, 5),
		.healthy_us = ms(a, 7),
		.failed_in_row = has(a, "once") ? 1 : 2,
		.leaving = has(a, "leaving"),
		.pending = has(a, "pending"),
	};

	if (ev.store_read_us > ev.store_failed_us)
		ev.failed_in_row = 0;
	lw_lease_step(&w->lease, &ev);
	emit(w, "%s by %s%s%s", lw_lease_state_name(w->lease.state),
	     lw_lease_cause_name(w->lease.cause), lw_lease_in_use(&w->lease) ? ", in use" : "",
	     lw_lease_asserts_liveness(&w->lease, &ev) ? ", vouched" : "");
}

const command_t decide_lease_commands[] = {
	{ "lease", do_lease },
	{ "step", do_step },
	{ NULL, NULL },
};
