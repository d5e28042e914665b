/* Script commands for the lease of the backend server on this host. */
#include <string.h>

#include "decide.h"

/* lease found | lease missing AT */
static void do_lease(world_t *w, const words_t *a)
{
	if (strcmp(word(a, 1), "found") == 0)
		lw_lease_entry_found(&w->lease);
	else
		lw_lease_entry_missing(&w->lease, ms(a, 2));
}

/*
 * step NOW read AT failed AT healthy AT [leaving] [pending]: what the node of
 * the server has observed.
 */
static void do_step(world_t *w, const words_t *a)
{
	lw_lease_evidence_t ev = {
		.now_us = ms(a, 1),
		.store_read_us = ms(a, 3),
		.store_failed_us = ms(a, 5),
		.healthy_us = ms(a, 7),
		.leaving = has(a, "leaving"),
		.pending = has(a, "pending"),
	};

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
