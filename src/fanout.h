/*
 * How store updates reach every node: which nodes read the store, and to
 * which nodes each node forwards updates. With hundreds of nodes the links of
 * the readers and the request rate of the store are too small to serve all of
 * them directly. Every node computes the same plan from the list of backend
 * servers. No I/O.
 *
 * In each availability zone the nodes, ordered by a hash of their addresses,
 * form two trees: one starts at the first node, the other at the last node,
 * so that hardly any node forwards updates in both. The first nodes of the
 * zones form a tree below the readers as well, and so do the last ones.
 */
#ifndef LW_FANOUT_H
#define LW_FANOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"

/* Nodes that read the store for all, in different zones if possible. */
#define LW_FANOUT_READERS 2
/* Nodes that replace the readers when these are silent. */
#define LW_FANOUT_SUBSTITUTES 2
/* Maximum number of children of a node in one tree. */
#define LW_FANOUT_DEGREE 6
/* A node can be an inner node of two trees in its zone and of two between zones. */
#define LW_FANOUT_CHILDREN_MAX (4 * LW_FANOUT_DEGREE)
/* The roots of the trees: the first and the last nodes of the first zones. */
#define LW_FANOUT_ROOTS_MAX (2 * LW_FANOUT_DEGREE)

/* The role of one node. */
typedef struct lw_fanout {
	uint32_t rank; /* among all nodes: readers come first, then substitutes */
	/*
	 * place in the order in which nodes without updates read the store: the rank, or one
	 * behind all ranks
	 */
	uint32_t turn;
	bool ranked; /* turn is a rank, of this plan or of an earlier one */
	/* age of the last update at which the node reads the store while it hears other nodes */
	uint32_t read_after_ms;
	uint32_t alone_read_after_ms; /* the same while it hears none */
	char child[LW_FANOUT_CHILDREN_MAX][LW_NAME_MAX]; /* addresses of backend servers */
	size_t nchildren;
	/* the roots of the trees that are no children, for updates that this node has read itself */
	char root[LW_FANOUT_ROOTS_MAX][LW_NAME_MAX];
	size_t nroots;
} lw_fanout_t;

/*
 * Age at which an update is stale: readers send every 0.7 s, and one message
 * may be late by half of that. In milliseconds.
 */
#define LW_FANOUT_STALE_MS 1050
/* age after which a few other nodes are asked for a newer update, ms */
#define LW_FANOUT_ASK_MS 850
/* number of nodes that are asked */
#define LW_FANOUT_ASK_NODES 3
/* nodes other than the substitutes wait this much longer before they read the store, ms */
#define LW_FANOUT_SUBSTITUTES_MS 200
/* nodes that hear no other node distribute their reads over this time, ms */
#define LW_FANOUT_STAGGER_MS 300
/* a node that has asked others for this time without an answer hears none, ms */
#define LW_FANOUT_ALONE_MS 400
/* rank of a node whose backend server is not listed: it is neither reader nor substitute */
#define LW_FANOUT_NO_RANK UINT32_MAX

/* The nodes of a list in a common order; makes the plans of many nodes cheap. */
typedef struct lw_fanout_order lw_fanout_order_t;

lw_fanout_order_t *lw_fanout_order_new(const lw_serverlist_t *sl);
void lw_fanout_order_free(lw_fanout_order_t *o);
void lw_fanout_plan_in(const lw_fanout_order_t *o, const char *backend, const char *zone,
		       lw_fanout_t *out);
void lw_fanout_plan(const lw_serverlist_t *sl, const char *backend, const char *zone,
		    lw_fanout_t *out);
void lw_fanout_keep_turn(lw_fanout_t *s, const lw_fanout_t *before);
bool lw_fanout_is_reader(const lw_fanout_t *s);
bool lw_fanout_is_reader_or_substitute(const lw_fanout_t *s);

#endif
