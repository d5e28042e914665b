/*
 * How news from the store reaches every node: who reads it, and to whom each node
 * passes it on. Load pattern: with hundreds of nodes the readers' links and the
 * store's rate are too small for all of them. Every node works out the same plan
 * from the list of backend servers. No I/O.
 *
 * In each availability zone the nodes, in the order of a hash of their addresses,
 * are two trees: one from the first node on, one from the last node on, so that
 * hardly a node passes news on in both. The first nodes of the zones are a tree
 * likewise, below the readers, and so are the last ones.
 */
#ifndef LW_FANOUT_H
#define LW_FANOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"

/* Nodes that read the store for all, in different zones if there are. */
#define LW_FANOUT_READERS 2
/* Nodes that take the readers' place when nothing is heard of them. */
#define LW_FANOUT_SUBSTITUTES 2
/* Nodes to which a node passes news on in one tree. */
#define LW_FANOUT_DEGREE 6
/* A node is a reader, and inner node of two trees in its zone and two between zones. */
#define LW_FANOUT_CHILDREN_MAX (6 * LW_FANOUT_DEGREE)

/* One node's part. */
typedef struct lw_fanout {
	uint32_t rank; /* among those that read: the first ones do, the next ones step in */
	uint32_t read_after_ms; /* how old news may be before the node reads the store itself */
	char child[LW_FANOUT_CHILDREN_MAX][LW_NAME_MAX]; /* addresses of backend servers */
	size_t nchildren;
} lw_fanout_t;

/* readers tell every 0.7 s; one message may be late by half of that, ms */
#define LW_FANOUT_STALE_MS 1050
/* news that is older is asked for at a few other nodes, ms */
#define LW_FANOUT_ASK_MS 850
/* so many of them */
#define LW_FANOUT_ASK_NODES 3
/* the others leave the substitutes this much time, ms */
#define LW_FANOUT_SUBSTITUTES_MS 200
/* and begin one after the other within this time, ms */
#define LW_FANOUT_STAGGER_MS 300
/* of a node that does not read for others, and stands in for nobody */
#define LW_FANOUT_NO_RANK UINT32_MAX

void lw_fanout_plan(const lw_serverlist_t *sl, const char *backend, const char *zone,
		    lw_fanout_t *out);
bool lw_fanout_is_reader(const lw_fanout_t *s);
bool lw_fanout_is_reader_or_substitute(const lw_fanout_t *s);

#endif
