/*
 * Health checks of the backend server on this host. They cost it a place, so
 * they are made only while its entry is missing: to tell a server whose lease
 * lapsed from one that left.
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
	lw_bconn_t *conn; /* of the check under way; NULL: none is */
	uint64_t began_us;
	char server_id[LW_NAME_MAX]; /* that must answer */
	uint64_t healthy_us; /* it last said that it is healthy; 0: it did not */
	bool leaving; /* it said otherwise, is another one, or takes no connection */
	/* it announced this of itself; may be NULL */
	void (*heard)(void *ctx, const lw_notice_said_t *said, uint64_t sent_us);
	void *heard_ctx;
} lw_probe_t;

void lw_probe_init(lw_probe_t *p, lw_evloop_t *evloop);
void lw_probe_reset(lw_probe_t *p, const char *server_id);
void lw_probe_check(lw_probe_t *p, const char *path);

#endif
