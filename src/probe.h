/*
 * Health checks of the backend server on this host. As each check occupies one of the server's
 * slots, checks are made only while its registration is missing, to distinguish a server whose
 * lease expired from one that is leaving.
 */
#ifndef LW_PROBE_H
#define LW_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "bconn.h"
#include "evloop.h"
#include "platconf.h"

typedef struct lw_probe {
	lw_evloop_t *evloop;
	lw_bconn_t *conn; /* connection of the check in progress; NULL: none */
	uint64_t began_us;
	const char *server_id; /* id of the server that is expected to answer */
	uint64_t healthy_us; /* when it last reported itself healthy; 0: never */
	bool leaving; /* it reported itself unhealthy, has another id, or refused the connection */
	/* called with the self-announcement in the answer; may be NULL */
	void (*on_notice)(void *ctx, const lw_notice_fields_t *said, bool healthy,
			  uint64_t sent_us);
	void *on_notice_ctx;
} lw_probe_t;

void lw_probe_init(lw_probe_t *p, lw_evloop_t *evloop);
void lw_probe_reset(lw_probe_t *p, const char *server_id);
void lw_probe_check(lw_probe_t *p, const char *path);

#endif
