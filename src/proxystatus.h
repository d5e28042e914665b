/*
 * What a node believes at this moment, as text for operators: configuration,
 * its backend server, the other servers with the age of the news about each,
 * and which services on the way of a route refuse work.
 */
#ifndef LW_PROXYSTATUS_H
#define LW_PROXYSTATUS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "exchange.h"
#include "feed.h"
#include "spread.h"

/* What the status tells beside the engine's own state. */
typedef struct lw_proxystatus {
	const lw_engine_t *engine;
	uint64_t servers_revision;
	uint32_t news_age_ms;
	bool ready;
	bool reader;
	bool reads_store; /* the store, now */
	lw_feed_why_t reads_why;
	const char
		*peer_read_from; /* the node that told the newest news of others; empty: none did */
	const lw_spread_t *spread;
	const char (*quota_coordinator)[LW_NAME_MAX]; /* LW_QUOTA_KEEPERS of them */
	const lw_mesh_stats_t *mesh;
	const lw_feed_stats_t *feed;
} lw_proxystatus_t;

void lw_proxystatus_print(FILE *f, const lw_proxystatus_t *s);

#endif
