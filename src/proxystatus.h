/*
 * The status page: the state of a node as text for operators, with its
 * configuration, its backend server, the other servers with the age of the last
 * report about each, and the services on a route's call path that refuse
 * requests.
 */
#ifndef LW_PROXYSTATUS_H
#define LW_PROXYSTATUS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "exchange.h"
#include "storereader.h"
#include "fanout.h"

/* Contents of the status page that are not part of the engine's state. */
typedef struct lw_proxystatus {
	const lw_engine_t *engine;
	uint64_t servers_revision;
	uint32_t news_age_ms;
	bool ready;
	bool reader;
	bool reads_store; /* this node reads the store at present */
	lw_storereader_reason_t reads_why;
	const char *peer_read_from; /* the node that reported the newest store read; empty: none */
	const lw_fanout_t *fanout;
	const char (*quota_coordinator)[LW_NAME_MAX]; /* array of LW_QUOTA_COORDINATORS addresses */
	const lw_mesh_stats_t *mesh;
	const lw_storereader_stats_t *store_reader;
} lw_proxystatus_t;

void lw_proxystatus_print(FILE *f, const lw_proxystatus_t *s);

#endif
