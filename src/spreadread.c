/* Which nodes of the model read the store, and when; see spreadsim_int.h. */
#include "spreadsim_int.h"

/* as in storereader.c and proxyread.c */
#define SUBSTITUTE_READ_US 2500000
#define OFFSET_WAIT_US	   400000
#define WATCH_PAUSE_US	   700000
#define OFFSET_PAUSE_US	   350000
#define BACKOFF_MIN_US	   150000
#define BACKOFF_MAX_US	   600000
#define PATIENT_MIN_US	   1200000
#define PATIENT_MAX_US	   2400000

void lw_spread_begin_call(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	bool news = n->list < s->newest_list || n->config < s->newest_config;
	bool fails = !s->store_answers || n->refused;

	s->calls[n->why]++;
	n->counts.messages += 2;
	n->reading = READING_CALL;
	n->reading_number++;
	n->call_us = s->now_us;
	lw_spread_at_node(s, EVENT_READ, i,
			  news || fails || !n->joined_us ? LW_SPREAD_STORE_US :
							   n->wait_us + LW_SPREAD_STORE_US);
}

static void start_reading(lw_spread_t *s, uint32_t i, lw_storereader_reason_t why)
{
	node_t *n = &s->node[i];

	n->why = why;
	n->wants_reading = true;
	if (n->reading == READING_NOT)
		lw_spread_begin_call(s, i);
}

static bool defers(const node_t *n)
{
	if (n->why == LW_STOREREADER_START)
		return !lw_join_is_seed(&n->join);
	return n->why == LW_STOREREADER_STALE && !lw_fanout_is_reader_or_substitute(&n->plan);
}

static uint64_t backoff_us(node_t *n)
{
	uint64_t least = defers(n) ? PATIENT_MIN_US : BACKOFF_MIN_US;
	uint64_t most = defers(n) ? PATIENT_MAX_US : BACKOFF_MAX_US;

	n->backoff_us *= 2;
	n->backoff_us = n->backoff_us < least ? least : n->backoff_us;
	n->backoff_us = n->backoff_us > most ? most : n->backoff_us;
	return n->backoff_us;
}

static uint64_t pause_us(lw_spread_t *s, node_t *n)
{
	uint64_t took_us = s->now_us - n->call_us;
	bool offset = lw_fanout_is_reader(&n->plan) && n->plan.rank % 2;
	bool shifted = offset && took_us < OFFSET_PAUSE_US;
	uint64_t pause = shifted ? OFFSET_PAUSE_US : WATCH_PAUSE_US;

	n->wait_us = shifted ? OFFSET_WAIT_US : LW_SPREAD_WATCH_US;
	return took_us < pause ? pause - took_us : 0;
}

void lw_spread_on_read(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	bool failed = !s->store_answers || n->refused;
	uint64_t pause;

	n->reading = READING_PAUSE;
	n->reading_number++;
	if (!failed) {
		n->backoff_us = 0;
		n->store_read_us = s->now_us;
		lw_spread_apply_config(s, i, s->newest_config);
		lw_spread_apply_list(s, i, s->newest_list);
		lw_spread_forward_update(s, i);
	}
	pause = failed ? backoff_us(n) : pause_us(s, n);
	lw_spread_update_reading(s, i);
	if (failed && lw_join_delegates(&n->join, lw_spread_joined(n) ? 0 : s->now_us, s->now_us))
		for (int k = 0; k < LW_JOIN_DELEGATES; k++)
			lw_spread_send_status(s, i, lw_spread_random_below(s, s->hosts), false,
					      false, true);
	if (n->wants_reading)
		lw_spread_at_node(s, EVENT_CALL, i, pause);
	else
		n->reading = READING_NOT;
}

static bool news_too_old(const lw_spread_t *s, const node_t *n)
{
	bool alone = s->now_us > n->heard_us + LW_FANOUT_ALONE_MS * 1000;
	uint32_t after_ms = n->plan.read_after_ms;

	if (alone && n->plan.alone_read_after_ms < after_ms)
		after_ms = n->plan.alone_read_after_ms;
	return s->now_us > n->peer_read_us + (uint64_t)after_ms * 1000;
}

static bool reads_for_all(const lw_spread_t *s, const node_t *n)
{
	return s->version[n->list].list.nservers ? lw_fanout_is_reader(&n->plan) :
						   lw_join_is_seed(&n->join);
}

/* as in proxyread.c */
void lw_spread_update_reading(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];

	if (!lw_spread_joined(n)) {
		if (lw_join_reads_store(&n->join, s->now_us))
			start_reading(s, i, LW_STOREREADER_START);
		else
			n->wants_reading = false;
	} else if (reads_for_all(s, n)) {
		start_reading(s, i, LW_STOREREADER_ELECTED);
	} else if (news_too_old(s, n)) {
		if (lw_fanout_is_reader_or_substitute(&n->plan))
			n->read_until_us = s->now_us + SUBSTITUTE_READ_US;
		start_reading(s, i, LW_STOREREADER_STALE);
	} else if (s->now_us >= n->read_until_us) {
		n->wants_reading = false;
	}
}
