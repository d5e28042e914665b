/*
 * Model of the control plane of a fleet in virtual time: how configurations and lists of
 * backend servers reach all nodes, and what that costs each of them. The decisions are those
 * of lwproxy (join.c, fanout.c, revdoc.c); modelled are the store, the delay and bandwidth of
 * the network, connections, starts and ends of processes. Not modelled are requests, which
 * hold more connections open, and the processor time of the nodes.
 */
#ifndef LW_SPREADSIM_H
#define LW_SPREADSIM_H

#include <stdbool.h>
#include <stdint.h>

#include "storereader.h"

#define LW_SPREAD_HOSTS_MAX 4096
#define LW_SPREAD_ZONES	    5
#define LW_SPREAD_SEEDS	    3

typedef struct lw_spread lw_spread_t;

/* First, middle and last of the nodes, in ms; n: how many there are. */
typedef struct lw_spread_times {
	uint32_t n;
	double first;
	double middle;
	double last;
} lw_spread_times_t;

/* What one node did since lw_spread_reset_counts(). */
typedef struct lw_spread_counts {
	uint64_t messages; /* sent and received */
	uint64_t bytes; /* sent */
	uint64_t opened; /* connections opened */
	uint32_t links; /* open connections, in both directions */
} lw_spread_counts_t;

lw_spread_t *lw_spread_new(uint32_t hosts, uint64_t seed);
void lw_spread_free(lw_spread_t *s);
void lw_spread_run_until(lw_spread_t *s, uint64_t at_us);
void lw_spread_change_config(lw_spread_t *s);
void lw_spread_set_store(lw_spread_t *s, bool answers);
void lw_spread_refuse(lw_spread_t *s, uint32_t host, bool refused);
void lw_spread_kill(lw_spread_t *s, uint32_t host, uint64_t restart_us);
bool lw_spread_has_rank_below(const lw_spread_t *s, uint32_t host, uint32_t rank);
bool lw_spread_forwards(const lw_spread_t *s, uint32_t host);
lw_spread_times_t lw_spread_config_times(const lw_spread_t *s);
lw_spread_times_t lw_spread_start_times(const lw_spread_t *s, uint64_t since_us);
uint64_t lw_spread_calls(const lw_spread_t *s, lw_storereader_reason_t why);
void lw_spread_reset_counts(lw_spread_t *s);
lw_spread_counts_t lw_spread_count(lw_spread_t *s, uint32_t host);

#endif
