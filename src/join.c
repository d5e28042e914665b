/* Start of a node that knows no other node; see join.h. */
#include "join.h"

#include <string.h>

/* doublings of the number of nodes that read within LW_JOIN_SPREAD_MS */
#define SPREAD_DOUBLINGS 12

/*
 * The delay of the node with @digest: half of the nodes get the last step, a quarter the one
 * before it, and so on.
 */
static uint32_t spread_of(uint64_t digest)
{
	uint32_t step = SPREAD_DOUBLINGS;

	while (step && !(digest & 1)) {
		digest >>= 1;
		step--;
	}
	return step * LW_JOIN_SPREAD_MS / SPREAD_DOUBLINGS;
}

/*
 * lw_join_init() - the node starts; @self is its own number among the seeds, if it is one.
 * @digest is a hash of its address: it distributes the nodes over the seeds, and their reads
 * over time.
 */
void lw_join_init(lw_join_t *j, uint32_t nseeds, uint32_t self, uint64_t digest, uint64_t now_us)
{
	memset(j, 0, sizeof(*j));
	j->nseeds = nseeds;
	j->self = self;
	j->next = nseeds ? (uint32_t)(digest >> 32) % nseeds : 0;
	j->next_us = now_us;
	j->heard_us = now_us;
	j->spread_ms = spread_of(digest);
}

/* lw_join_is_seed() - whether this node is a seed of others. */
bool lw_join_is_seed(const lw_join_t *j)
{
	return j->self != LW_JOIN_NO_SEED;
}

/* whether no seed has answered for so long that this node reads the store */
static bool gave_up(const lw_join_t *j, uint64_t now_us)
{
	return now_us >= j->heard_us + (uint64_t)(LW_JOIN_SILENT_MS + j->spread_ms) * 1000;
}

/*
 * lw_join_reads_store() - whether this node reads the store while it has no configuration or
 * no list of servers.
 */
bool lw_join_reads_store(const lw_join_t *j, uint64_t now_us)
{
	return !j->nseeds || lw_join_is_seed(j) || now_us < j->delegated_until_us ||
	       gave_up(j, now_us);
}

/*
 * lw_join_ask() - returns the number of the seed to ask now for its state; LW_JOIN_NO_SEED:
 * none now.
 */
uint32_t lw_join_ask(lw_join_t *j, uint64_t now_us)
{
	uint32_t seed;

	if (!j->nseeds || now_us < j->next_us)
		return LW_JOIN_NO_SEED;
	seed = j->next;
	j->next = (j->next + 1) % j->nseeds;
	j->next_us = now_us + LW_JOIN_ASK_MS * 1000;
	return seed == j->self ? LW_JOIN_NO_SEED : seed;
}

/*
 * lw_join_heard() - @seed answered. It sends its state again as soon as it has the documents,
 * and is only asked again to see that it is still there.
 */
void lw_join_heard(lw_join_t *j, uint32_t seed, uint64_t now_us)
{
	j->heard_us = now_us;
	j->next = seed;
	j->next_us = now_us + LW_JOIN_PING_MS * 1000;
}

/* lw_join_lost() - the connection to a seed was lost or refused: the next one is asked soon. */
void lw_join_lost(lw_join_t *j, uint64_t now_us)
{
	uint64_t soon = now_us + LW_JOIN_ASK_MS * 1000;

	if (j->next_us > soon)
		j->next_us = soon;
}

/* lw_join_delegated() - a seed that cannot reach the store asks this node to read it. */
void lw_join_delegated(lw_join_t *j, uint64_t now_us)
{
	j->delegated_until_us = now_us + LW_JOIN_DELEGATED_MS * 1000;
}

/*
 * lw_join_delegates() - whether this node, a seed, asks LW_JOIN_DELEGATES of the waiting nodes
 * to read the store now, as its own last call failed at @failed_us (0: none failed). The store
 * may reject some hosts only; it gets no more calls during an outage than these.
 */
bool lw_join_delegates(lw_join_t *j, uint64_t failed_us, uint64_t now_us)
{
	uint64_t interval_us = LW_JOIN_DELEGATE_INTERVAL_MS * 1000;

	if (!lw_join_is_seed(j) || !failed_us || now_us - j->delegate_us < interval_us)
		return false;
	j->delegate_us = now_us;
	return true;
}
