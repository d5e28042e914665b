/*
 * How a node that has just started, and knows no other node, gets its first configuration and
 * list of servers. The seeds of its settings are other nodes that it may ask; a seed reads the
 * store itself. If every node of a fleet that starts together read it, the store would get
 * several calls for each. A node that is no seed reads the store only while no seed answers, or
 * if a seed that cannot reach the store asks it to. No I/O; the caller passes the time.
 */
#ifndef LW_JOIN_H
#define LW_JOIN_H

#include <stdbool.h>
#include <stdint.h>

/* Without an answer the next seed is asked after this time, ms. */
#define LW_JOIN_ASK_MS 200
/* A seed that has answered, but has no documents yet, is asked again after this time, ms. */
#define LW_JOIN_PING_MS 400
/* Without an answer of any seed for this time the node may read the store, ms. */
#define LW_JOIN_SILENT_MS 500
/*
 * Then the nodes begin to read one after the other within this time, ms. Few begin early, and
 * twice as many in each next step, so that the first of them can inform the others, whatever
 * their number.
 */
#define LW_JOIN_SPREAD_MS 1500
/* How long a node reads the store when a seed asks it to, ms. */
#define LW_JOIN_DELEGATED_MS 300
/* How often a seed that cannot reach the store asks other nodes to read it, ms. */
#define LW_JOIN_DELEGATE_INTERVAL_MS 500
/* How many nodes it asks at a time. */
#define LW_JOIN_DELEGATES 2
/* Number of a seed that is none. */
#define LW_JOIN_NO_SEED UINT32_MAX

typedef struct lw_join {
	uint32_t nseeds;
	uint32_t self; /* number of the seed that this node is; LW_JOIN_NO_SEED: it is none */
	uint32_t next; /* the seed to ask next */
	uint64_t next_us; /* when to ask it */
	uint64_t heard_us; /* when a seed last answered; the start if none has */
	uint64_t delegated_until_us; /* until then the node reads the store for a seed */
	uint64_t delegate_us; /* seed: when it last asked other nodes to read */
	uint32_t spread_ms; /* this node's part of LW_JOIN_SPREAD_MS */
} lw_join_t;

void lw_join_init(lw_join_t *j, uint32_t nseeds, uint32_t self, uint64_t digest, uint64_t now_us);
bool lw_join_is_seed(const lw_join_t *j);
bool lw_join_reads_store(const lw_join_t *j, uint64_t now_us);
uint32_t lw_join_ask(lw_join_t *j, uint64_t now_us);
void lw_join_heard(lw_join_t *j, uint32_t seed, uint64_t now_us);
void lw_join_lost(lw_join_t *j, uint64_t now_us);
void lw_join_delegated(lw_join_t *j, uint64_t now_us);
bool lw_join_delegates(lw_join_t *j, uint64_t failed_us, uint64_t now_us);

#endif
