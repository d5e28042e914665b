/*
 * What the logs of all nodes of a fleet say together: how long a start and a configuration
 * took to reach the first, the middle and the last host, what each role in the fan-out of
 * store updates costs, and the calls to the store by reason.
 */
#ifndef LW_FLEETLOG_H
#define LW_FLEETLOG_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "platconf.h"
#include "storereader.h"

/* Roles of a node in the fan-out of store updates. */
typedef enum lw_fleet_role {
	LW_FLEET_READER,
	LW_FLEET_SUBSTITUTE,
	LW_FLEET_INNER, /* forwards updates to other nodes */
	LW_FLEET_LEAF,
	LW_FLEET_UNLISTED, /* its backend server is not in its list */
	LW_FLEET_ROLES
} lw_fleet_role_t;

/* Figures of a node; those per second are means over the time between its last two summaries. */
typedef enum lw_fleet_figure {
	LW_FLEET_BYTES, /* kB sent to other nodes per second */
	LW_FLEET_CONTROL, /* the part of it that is neither requests nor answers */
	LW_FLEET_WAKEUPS, /* iterations of the event loop per second */
	LW_FLEET_PROCESSOR, /* percent of a core */
	LW_FLEET_HEAP, /* MB */
	LW_FLEET_LINKS, /* open connections with other nodes, in both directions */
	LW_FLEET_OPENED, /* connections opened to other nodes per second */
	LW_FLEET_CHILDREN, /* nodes that it forwards updates to */
	LW_FLEET_FIGURES
} lw_fleet_figure_t;

/* First, middle and last of a set of times or figures. */
typedef struct lw_fleet_spread {
	size_t n;
	double first;
	double middle;
	double last;
} lw_fleet_spread_t;

/* One process of a node. */
typedef struct lw_fleet_process {
	char host[LW_NAME_MAX];
	char source[LW_NAME_MAX]; /* log file */
	uint32_t pid;
	uint64_t started_ms; /* 0: not in the log */
	uint64_t config_ms; /* first configuration; 0: none */
	uint64_t servers_ms; /* first list of servers; 0: none */
	uint64_t calls[LW_STOREREADER_REASON_COUNT]; /* by its newest summary */
	lw_fleet_role_t role;
	double figure[LW_FLEET_FIGURES];
	uint64_t summary_ms; /* uptime at the newest summary; 0: there is none */
	double total[LW_FLEET_FIGURES]; /* sums since its start at that time */
} lw_fleet_process_t;

/* The moment at which a process replaced its configuration; its first one counts as its start. */
typedef struct lw_fleet_in_force {
	uint64_t version;
	uint64_t at_ms;
} lw_fleet_in_force_t;

typedef struct lw_fleetlog {
	lw_fleet_process_t *processes;
	size_t nprocesses;
	size_t processes_cap;
	lw_fleet_in_force_t *in_force;
	size_t nin_force;
	size_t in_force_cap;
} lw_fleetlog_t;

void lw_fleetlog_add(lw_fleetlog_t *f, const char *source, const char *line);
void lw_fleetlog_sort(lw_fleetlog_t *f);
size_t lw_fleetlog_version(const lw_fleetlog_t *f, size_t from);
lw_fleet_spread_t lw_fleetlog_starts(const lw_fleetlog_t *f);
lw_fleet_spread_t lw_fleetlog_figure(const lw_fleetlog_t *f, lw_fleet_role_t role,
				     lw_fleet_figure_t figure, const char **host);
uint64_t lw_fleetlog_calls(const lw_fleetlog_t *f, lw_storereader_reason_t reason);
const char *lw_fleet_role_name(lw_fleet_role_t role);
const char *lw_fleet_figure_name(lw_fleet_figure_t figure);
void lw_fleetlog_print(const lw_fleetlog_t *f, FILE *out);
void lw_fleetlog_csv(const lw_fleetlog_t *f, FILE *out);
void lw_fleetlog_free(lw_fleetlog_t *f);

#endif
