/*
 * The metrics page of the proxy. The event loop copies its figures twice a second
 * and the page is written from the copy, so that no reader of the page delays a
 * request. The status page is written by the event loop itself, only while a
 * client waits for it.
 */
#ifndef LW_PROXYSTATS_H
#define LW_PROXYSTATS_H

#include "caller.h"
#include "exchange.h"
#include "storereader.h"
#include "mesh.h"

/* Organisations that are counted by name; all others share one row. */
#define LW_PROXYSTATS_ORGS 16

/* A snapshot of all counters and gauges. */
typedef struct lw_proxystats {
	lw_engine_stats_t engine;
	lw_gate_stats_t gate;
	lw_mesh_stats_t mesh;
	lw_callers_stats_t callers;
	lw_storereader_stats_t store_reader;
	lw_load_t load;
	uint64_t zone_plans[LW_ZONE_PLAN_COUNT]; /* first choices of a server, by zone plan */
	const lw_routestats_t *routes; /* copied by lw_proxystats_publish() */
	uint32_t connections;
	uint32_t active;
	uint32_t level;
	uint32_t servers;
	uint64_t
		entries_doubted; /* listed servers that got no work at first, as they may have left */
	uint64_t config_version;
	uint64_t servers_revision;
	uint64_t news_age_ms;
	uint64_t log_dropped;
	lw_quota_count_t orgs[LW_PROXYSTATS_ORGS];
	size_t norgs;
	lw_quota_count_t other_orgs;
	bool quota_alone; /* no quota coordinator replies: this node enforces limits alone */
	lw_fairshare_state_t shares;
	size_t suspects; /* requests during which backend servers crashed */
	uint64_t longest_iteration_us;
	bool reader;
	bool ready;
	bool leaving;
} lw_proxystats_t;

lw_status_t lw_proxystats_serve(const char *addr);
void lw_proxystats_publish(const lw_proxystats_t *s);
bool lw_proxystats_status_wanted(void);
void lw_proxystats_set_status(char *text, size_t len);

#endif
