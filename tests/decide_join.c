/* Script commands for the start of a node that knows no other node. */
#include <stdio.h>
#include <xxhash.h>

#include "decide.h"

/* join SEEDS SELF: a node starts at 0 ms; SELF is its number among the seeds, -1: it is none */
static void do_join(world_t *w, const words_t *a)
{
	uint32_t self = num(a, 2) < 0 ? LW_JOIN_NO_SEED : (uint32_t)num(a, 2);

	lw_join_init(&w->join, (uint32_t)num(a, 1), self, 1, 0);
	w->join_ms = 0;
	w->join_reads = false;
}

/*
 * join-until MS: what the node does every 50 ms until then: the seeds that it asks, and
 * when it begins and ends to read the store
 */
static void do_join_until(world_t *w, const words_t *a)
{
	for (; w->join_ms <= num(a, 1); w->join_ms += 50) {
		uint64_t now = (uint64_t)w->join_ms * 1000;
		uint32_t seed = lw_join_ask(&w->join, now);
		bool reads = lw_join_reads_store(&w->join, now);

		if (seed != LW_JOIN_NO_SEED)
			emit(w, "%ld ms: asks seed %u", w->join_ms, seed);
		if (reads != w->join_reads)
			emit(w, "%ld ms: %s", w->join_ms,
			     reads ? "reads the store" : "reads no more");
		w->join_reads = reads;
	}
}

/* join-heard SEED: the seed answered just now */
static void do_join_heard(world_t *w, const words_t *a)
{
	lw_join_heard(&w->join, (uint32_t)num(a, 1), (uint64_t)w->join_ms * 1000);
}

/* join-lost: the connection to a seed was lost */
static void do_join_lost(world_t *w, const words_t *a)
{
	(void)a;
	lw_join_lost(&w->join, (uint64_t)w->join_ms * 1000);
}

/* join-delegated: a seed asked the node to read the store */
static void do_join_delegated(world_t *w, const words_t *a)
{
	(void)a;
	lw_join_delegated(&w->join, (uint64_t)w->join_ms * 1000);
}

/*
 * join-delegates MS: how often a seed asks others to read, whose calls to the store fail from
 * the start until then
 */
static void do_join_delegates(world_t *w, const words_t *a)
{
	uint32_t times = 0;

	for (long at = 50; at <= num(a, 1); at += 50)
		times += lw_join_delegates(&w->join, 1, (uint64_t)at * 1000);
	emit(w, "%u times %u nodes", times, times ? LW_JOIN_DELEGATES : 0);
}

/* join-silent NODES MS...: how many nodes of a fleet read by then if no seed answers any */
static void do_join_silent(world_t *w, const words_t *a)
{
	for (int t = 2; t < a->n; t++) {
		uint32_t read = 0;

		for (long i = 0; i < num(a, 1); i++) {
			lw_join_t j;

			lw_join_init(&j, 3, LW_JOIN_NO_SEED, XXH3_64bits(&i, sizeof(i)), 0);
			read += lw_join_reads_store(&j, ms(a, t));
		}
		emit(w, "%ld ms: %u of %ld", num(a, t), read, num(a, 1));
	}
}

const command_t decide_join_commands[] = {
	{ "join", do_join },
	{ "join-until", do_join_until },
	{ "join-heard", do_join_heard },
	{ "join-lost", do_join_lost },
	{ "join-delegated", do_join_delegated },
	{ "join-delegates", do_join_delegates },
	{ "join-silent", do_join_silent },
	{ NULL, NULL },
};
