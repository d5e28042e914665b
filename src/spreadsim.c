/* Model of the spread of store updates; see spreadsim.h. */
#include "spreadsim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "fanout.h"
#include "fleetconf.h"
#include "join.h"
#include "meshframe.h"
#include "revdoc.h"
#include "xalloc.h"

/* one way between two nodes, with the time until the receiver handles it, us */
#define HOP_US 700
/* time of an answer of the store, us */
#define STORE_US 4000
/* bytes per us of a host's link: 200 Mbit/s */
#define LINK_BYTES_PER_US 25
/* size of a status, and of a configuration as it is sent, in bytes */
#define STATUS_BYTES 100
#define CONFIG_BYTES 12000
/* as in the parts of lwproxy that are not used here, us */
#define LINK_IDLE_US	    10000000
#define JOIN_STEP_US	    50000
#define QUERY_INTERVAL_US   100000
#define FORWARD_INTERVAL_US 300000
#define SUBSTITUTE_READ_US  2500000
#define FETCH_TIMEOUT_US    300000
#define SHORT_LIST	    64
#define WATCH_WAIT_US	    600000
#define WATCH_PAUSE_US	    700000
#define OFFSET_WAIT_US	    400000
#define OFFSET_PAUSE_US	    350000
#define BACKOFF_MIN_US	    150000
#define BACKOFF_MAX_US	    600000
#define PATIENT_MIN_US	    1200000
#define PATIENT_MAX_US	    2400000
/* the nodes of a fleet start within this time, and their servers enter the list in that, us */
#define START_WITHIN_US	   300000
#define REGISTER_FROM_US   1500000
#define REGISTER_WITHIN_US 7500000
/* the first configuration is written then, us */
#define FIRST_CONFIG_US 1000000
/* most versions of the list: servers that enter in the same step make one */
#define LIST_VERSIONS_MAX 64
#define LIST_STEP_US	  300000

typedef enum event_kind {
	EVENT_START, /* a process starts */
	EVENT_STEP, /* timers of a node */
	EVENT_STATUS,
	EVENT_DOCUMENT,
	EVENT_READ, /* a call to the store ends */
	EVENT_CALL, /* the pause before the next call to the store is over */
	EVENT_LIST, /* the list in the store changes */
	EVENT_CONFIG, /* the configuration in the store changes */
} event_kind_t;

typedef struct event {
	uint64_t at_us;
	uint64_t seq;
	event_kind_t kind;
	uint32_t node; /* the node it happens at */
	uint32_t incarnation; /* of that node's process; the event is void in another one */
	uint32_t from;
	uint32_t from_incarnation;
	uint32_t list; /* versions that the sender has */
	uint32_t config;
	uint64_t read_us; /* last read of the store that the sender knows of */
	bool wants_reply;
	bool read_store;
	bool of_list; /* EVENT_DOCUMENT: of the list, else of the configuration */
} event_t;

typedef struct link {
	uint64_t key; /* the node that opened it, and the other one */
	uint32_t incarnation[2];
	uint64_t used_us;
	struct link *next; /* opened by the same node */
	UT_hash_handle hh;
} link_t;

typedef enum reading {
	READING_NOT,
	READING_CALL, /* a call is waiting for its answer */
	READING_PAUSE,
} reading_t;

typedef struct node {
	char backend[LW_NAME_MAX];
	char zone[LW_NAME_MAX];
	bool up;
	bool refused; /* the store rejects its calls */
	uint32_t incarnation;
	uint64_t started_us;
	uint64_t joined_us; /* 0: not yet */
	uint32_t list; /* version in use; 0: none */
	uint32_t config;
	uint64_t config_us; /* when it got the newest configuration */
	uint64_t peer_read_us;
	uint64_t store_read_us;
	uint64_t forwarded_us;
	uint64_t heard_us;
	uint64_t read_until_us;
	uint64_t fetch_us[2]; /* when it asked for the configuration and the list; 0: not */
	uint64_t busy_until_us; /* of its link */
	reading_t reading;
	bool wants_reading;
	uint32_t reading_number; /* of the call or pause; older events are void */
	lw_storereader_reason_t why;
	uint64_t backoff_us;
	uint64_t wait_us;
	uint64_t call_us; /* when the current call began */
	link_t *links; /* that it opened, of all its processes */
	lw_join_t join;
	lw_fanout_t plan;
	lw_spread_counts_t counts;
} node_t;

struct lw_spread {
	uint32_t hosts;
	uint64_t rng;
	uint64_t now_us;
	uint64_t seq;
	event_t *heap;
	size_t nevents;
	size_t cap;
	node_t *node;
	uint32_t *order; /* hosts in the order in which their servers enter the list */
	lw_serverlist_t list[LIST_VERSIONS_MAX + 1];
	lw_fanout_order_t *fanout[LIST_VERSIONS_MAX + 1];
	uint32_t list_bytes[LIST_VERSIONS_MAX +
			    1]; /* whole; as the difference from the one before */
	uint32_t step_bytes[LIST_VERSIONS_MAX + 1];
	lw_revdoc_t document;
	uint32_t newest_list; /* in the store */
	uint32_t newest_config;
	uint64_t config_us; /* when it was written */
	bool store_answers;
	link_t *links;
	uint64_t calls[LW_STOREREADER_REASON_COUNT];
};

static void update_reading(lw_spread_t *s, uint32_t i);

static uint32_t random_below(lw_spread_t *s, uint32_t below)
{
	s->rng ^= s->rng >> 12;
	s->rng ^= s->rng << 25;
	s->rng ^= s->rng >> 27;
	return below ? (uint32_t)((s->rng * 2685821657736338717ULL) >> 32) % below : 0;
}

static bool earlier(const event_t *a, const event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void push(lw_spread_t *s, event_t e)
{
	size_t i = s->nevents++;

	if (s->nevents > s->cap) {
		s->cap = s->cap ? s->cap * 2 : 4096;
		s->heap = xrealloc(s->heap, s->cap * sizeof(*s->heap));
	}
	e.seq = s->seq++;
	while (i && earlier(&e, &s->heap[(i - 1) / 2])) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

static event_t pop(lw_spread_t *s)
{
	event_t first = s->heap[0];
	event_t last = s->heap[--s->nevents];
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= s->nevents)
			break;
		if (k + 1 < s->nevents && earlier(&s->heap[k + 1], &s->heap[k]))
			k++;
		if (!earlier(&s->heap[k], &last))
			break;
		s->heap[i] = s->heap[k];
		i = k;
	}
	s->heap[i] = last;
	return first;
}

static void at_node(lw_spread_t *s, event_kind_t kind, uint32_t i, uint64_t after_us)
{
	push(s, (event_t){ .kind = kind,
			   .node = i,
			   .incarnation = s->node[i].incarnation,
			   .from = s->node[i].reading_number,
			   .at_us = s->now_us + after_us });
}

static bool joined(const node_t *n)
{
	return n->config && n->list;
}

static uint32_t host_of(const char *backend)
{
	unsigned a = 0, b = 0;

	sscanf(backend, "10.0.%u.%u", &a, &b);
	return a * 250 + b;
}

/* the link from @from to @to; opened if there is none, which takes two hops more: @extra_us */
static void use_link(lw_spread_t *s, uint32_t from, uint32_t to, uint64_t *extra_us)
{
	uint64_t key = (uint64_t)from << 32 | to;
	node_t *a = &s->node[from], *b = &s->node[to];
	link_t *l;

	*extra_us = 0;
	HASH_FIND(hh, s->links, &key, sizeof(key), l);
	if (!l) {
		l = xcalloc(1, sizeof(*l));
		l->key = key;
		HASH_ADD(hh, s->links, key, sizeof(l->key), l);
		l->next = a->links;
		a->links = l;
	}
	if (l->incarnation[0] != a->incarnation || l->incarnation[1] != b->incarnation ||
	    s->now_us - l->used_us > LINK_IDLE_US) {
		a->counts.opened++;
		*extra_us = 2 * HOP_US;
	}
	l->incarnation[0] = a->incarnation;
	l->incarnation[1] = b->incarnation;
	l->used_us = s->now_us;
}

static bool is_open(const lw_spread_t *s, const link_t *l)
{
	const node_t *a = &s->node[l->key >> 32], *b = &s->node[(uint32_t)l->key];

	return l->incarnation[0] == a->incarnation && l->incarnation[1] == b->incarnation &&
	       a->up && b->up && s->now_us - l->used_us <= LINK_IDLE_US;
}

/* puts @bytes on the link of @from; returns when the last one has arrived, us from now */
static uint64_t transmit(lw_spread_t *s, uint32_t from, size_t bytes)
{
	node_t *n = &s->node[from];

	if (n->busy_until_us < s->now_us)
		n->busy_until_us = s->now_us;
	n->busy_until_us += bytes / LINK_BYTES_PER_US;
	n->counts.bytes += bytes;
	n->counts.messages++;
	return n->busy_until_us - s->now_us + HOP_US;
}

/* @reply: over a connection that the other node has opened */
static void send_status(lw_spread_t *s, uint32_t from, uint32_t to, bool wants_reply, bool reply,
			bool read_store)
{
	const node_t *n = &s->node[from];
	uint64_t extra_us = 0;

	if (!reply)
		use_link(s, from, to, &extra_us);
	push(s, (event_t){ .kind = EVENT_STATUS,
			   .at_us = s->now_us + extra_us + transmit(s, from, STATUS_BYTES),
			   .node = to,
			   .incarnation = s->node[to].incarnation,
			   .from = from,
			   .from_incarnation = n->incarnation,
			   .list = n->list,
			   .config = n->config,
			   .read_us = n->store_read_us,
			   .wants_reply = wants_reply,
			   .read_store = read_store });
}

static void forward_update(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];

	n->forwarded_us = n->store_read_us;
	for (size_t k = 0; n->wants_reading && k < n->plan.nroots; k++)
		send_status(s, i, host_of(n->plan.root[k]), false, false, false);
	for (size_t k = 0; k < n->plan.nchildren; k++)
		send_status(s, i, host_of(n->plan.child[k]), false, false, false);
}

/* the node has its first documents: those that wait for them are told */
static void check_joined(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];

	if (n->joined_us || !joined(n))
		return;
	n->joined_us = s->now_us;
	for (link_t *l = s->links; l; l = l->hh.next)
		if ((uint32_t)l->key == i && is_open(s, l))
			send_status(s, i, (uint32_t)(l->key >> 32), false, true, false);
}

static void apply_list(lw_spread_t *s, uint32_t i, uint32_t version)
{
	node_t *n = &s->node[i];
	lw_fanout_t before;

	if (version <= n->list)
		return;
	before = n->plan;
	n->list = version;
	lw_fanout_plan_in(s->fanout[version], n->backend, n->zone, &n->plan);
	lw_fanout_keep_turn(&n->plan, &before);
	check_joined(s, i);
	forward_update(s, i);
}

static void apply_config(lw_spread_t *s, uint32_t i, uint32_t version)
{
	node_t *n = &s->node[i];

	if (version <= n->config)
		return;
	n->config = version;
	n->config_us = s->now_us;
	check_joined(s, i);
	forward_update(s, i);
}

static void begin_call(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	bool news = n->list < s->newest_list || n->config < s->newest_config;
	bool fails = !s->store_answers || n->refused;

	s->calls[n->why]++;
	n->counts.messages += 2;
	n->reading = READING_CALL;
	n->reading_number++;
	n->call_us = s->now_us;
	at_node(s, EVENT_READ, i,
		news || fails || !n->joined_us ? STORE_US : n->wait_us + STORE_US);
}

static void start_reading(lw_spread_t *s, uint32_t i, lw_storereader_reason_t why)
{
	node_t *n = &s->node[i];

	n->why = why;
	n->wants_reading = true;
	if (n->reading == READING_NOT)
		begin_call(s, i);
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

	n->wait_us = shifted ? OFFSET_WAIT_US : WATCH_WAIT_US;
	return took_us < pause ? pause - took_us : 0;
}

static void on_read(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	bool failed = !s->store_answers || n->refused;
	uint64_t pause;

	n->reading = READING_PAUSE;
	n->reading_number++;
	if (!failed) {
		n->backoff_us = 0;
		n->store_read_us = s->now_us;
		apply_config(s, i, s->newest_config);
		apply_list(s, i, s->newest_list);
		forward_update(s, i);
	}
	pause = failed ? backoff_us(n) : pause_us(s, n);
	update_reading(s, i);
	if (failed && lw_join_delegates(&n->join, joined(n) ? 0 : s->now_us, s->now_us))
		for (int k = 0; k < LW_JOIN_DELEGATES; k++)
			send_status(s, i, random_below(s, s->hosts), false, false, true);
	if (n->wants_reading)
		at_node(s, EVENT_CALL, i, pause);
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
	return s->list[n->list].nservers ? lw_fanout_is_reader(&n->plan) :
					   lw_join_is_seed(&n->join);
}

/* as in proxynews.c */
static void update_reading(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];

	if (!joined(n)) {
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

static void ask_others(lw_spread_t *s, uint32_t i)
{
	uint32_t asked = 0;

	for (link_t *l = s->node[i].links; l && asked < LW_FANOUT_ASK_NODES; l = l->next) {
		if (!is_open(s, l))
			continue;
		send_status(s, i, (uint32_t)l->key, true, false, false);
		asked++;
	}
	if (asked && s->list[s->node[i].list].nservers < SHORT_LIST)
		return;
	for (; asked < LW_FANOUT_ASK_NODES; asked++) {
		uint32_t n = (uint32_t)s->list[s->node[i].list].nservers;
		uint32_t to = n ? s->order[random_below(s, n)] : i;

		if (to != i)
			send_status(s, i, to, true, false, false);
	}
}

static void on_step(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	uint64_t next_us = JOIN_STEP_US;

	if (!joined(n)) {
		uint32_t seed = lw_join_ask(&n->join, s->now_us);

		if (seed != LW_JOIN_NO_SEED && s->node[seed].up)
			send_status(s, i, seed, true, false, false);
		else if (seed != LW_JOIN_NO_SEED)
			lw_join_lost(&n->join, s->now_us);
	} else if (s->now_us >= n->peer_read_us + LW_FANOUT_ASK_MS * 1000) {
		ask_others(s, i);
		next_us = QUERY_INTERVAL_US;
	} else {
		next_us = n->peer_read_us + LW_FANOUT_ASK_MS * 1000 - s->now_us;
	}
	update_reading(s, i);
	at_node(s, EVENT_STEP, i, next_us);
}

/* size of the list as it is sent to a node that has version @base */
static uint32_t list_bytes(const lw_spread_t *s, uint32_t base, uint32_t version)
{
	uint32_t sum = 0;

	if (!base || version - base >= LW_REVDOC_VERSIONS)
		return s->list_bytes[version];
	for (uint32_t v = base + 1; v <= version; v++)
		sum += s->step_bytes[v];
	return sum < s->list_bytes[version] ? sum : s->list_bytes[version];
}

/* asks @from for a document; it arrives in pieces of 16 KiB, each after a request */
static void fetch(lw_spread_t *s, uint32_t i, uint32_t from, bool of_list)
{
	node_t *n = &s->node[i];
	const node_t *peer = &s->node[from];
	uint32_t bytes = of_list ? list_bytes(s, n->list, peer->list) : CONFIG_BYTES;
	uint64_t trips = bytes / 16384 + 1;

	if (n->fetch_us[of_list] && s->now_us - n->fetch_us[of_list] < FETCH_TIMEOUT_US)
		return;
	n->fetch_us[of_list] = s->now_us;
	n->counts.messages++;
	push(s, (event_t){ .kind = EVENT_DOCUMENT,
			   .at_us = s->now_us + transmit(s, from, bytes) + (2 * trips - 1) * HOP_US,
			   .node = i,
			   .incarnation = n->incarnation,
			   .from = from,
			   .from_incarnation = peer->incarnation,
			   .list = peer->list,
			   .config = peer->config,
			   .read_us = peer->store_read_us,
			   .of_list = of_list });
}

static void on_store_read(lw_spread_t *s, uint32_t i, uint64_t read_us)
{
	node_t *n = &s->node[i];

	if (read_us > n->peer_read_us)
		n->peer_read_us = read_us;
	if (read_us <= n->store_read_us)
		return;
	n->store_read_us = read_us;
	if (read_us - n->forwarded_us > FORWARD_INTERVAL_US)
		forward_update(s, i);
}

static void apply_store_read(lw_spread_t *s, const event_t *e)
{
	const node_t *n = &s->node[e->node];

	if (e->list <= n->list && e->config <= n->config && e->read_us)
		on_store_read(s, e->node, e->read_us);
}

static void on_status(lw_spread_t *s, const event_t *e)
{
	node_t *n = &s->node[e->node];

	n->counts.messages++;
	n->heard_us = s->now_us;
	if (e->list > n->list)
		fetch(s, e->node, e->from, true);
	if (e->config > n->config)
		fetch(s, e->node, e->from, false);
	if (!e->wants_reply && e->list < n->list)
		send_status(s, e->node, e->from, false, true, false);
	apply_store_read(s, e);
	if (!joined(n) && e->from < LW_SPREAD_SEEDS)
		lw_join_heard(&n->join, e->from, s->now_us);
	if (!joined(n) && e->read_store)
		lw_join_delegated(&n->join, s->now_us);
	update_reading(s, e->node);
	if (e->wants_reply)
		send_status(s, e->node, e->from, false, true, false);
}

static void on_document(lw_spread_t *s, const event_t *e)
{
	node_t *n = &s->node[e->node];

	n->counts.messages++;
	n->fetch_us[e->of_list] = 0;
	if (e->of_list)
		apply_list(s, e->node, e->list);
	else
		apply_config(s, e->node, e->config);
	apply_store_read(s, e);
}

static void start_process(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	uint64_t digest = XXH3_64bits(n->backend, strlen(n->backend));

	n->up = true;
	n->started_us = s->now_us;
	n->joined_us = 0;
	n->list = 0;
	n->config = 0;
	n->peer_read_us = s->now_us;
	n->store_read_us = 0;
	n->heard_us = s->now_us;
	n->read_until_us = 0;
	n->fetch_us[0] = n->fetch_us[1] = 0;
	n->reading = READING_NOT;
	n->wants_reading = false;
	n->backoff_us = 0;
	n->wait_us = WATCH_WAIT_US;
	memset(&n->plan, 0, sizeof(n->plan));
	n->plan.rank = LW_FANOUT_NO_RANK;
	lw_join_init(&n->join, LW_SPREAD_SEEDS, i < LW_SPREAD_SEEDS ? i : LW_JOIN_NO_SEED, digest,
		     s->now_us);
	at_node(s, EVENT_STEP, i, 0);
}

/* calls to the store that wait for a change end with it */
static void end_waiting_calls(lw_spread_t *s)
{
	for (uint32_t i = 0; i < s->hosts; i++) {
		node_t *n = &s->node[i];

		if (!n->up || n->reading != READING_CALL || !n->joined_us)
			continue;
		n->reading_number++;
		at_node(s, EVENT_READ, i, STORE_US);
	}
}

/* the order of the first @n servers, and the size of that list as a document */
static void make_list(lw_spread_t *s, uint32_t version, uint32_t n)
{
	lw_serverlist_t *sl = &s->list[version];
	lw_bytebuf_t packed = { 0 };
	uint64_t before = lw_revdoc_hash(&s->document);

	sl->servers = xcalloc(n + 1, sizeof(lw_server_entry_t));
	sl->nservers = n;
	for (uint32_t i = 0; i < n; i++) {
		const node_t *of = &s->node[s->order[i]];
		lw_server_entry_t *e = &sl->servers[i];

		snprintf(e->id, sizeof(e->id), "i-%08x", s->order[i] * 2654435761u);
		lw_str_copy(e->addr, sizeof(e->addr), lw_str_c(of->backend));
		lw_str_copy(e->zone, sizeof(e->zone), lw_str_c(of->zone));
		snprintf(e->service, sizeof(e->service), "service-%u", s->order[i] % 4);
		e->slots = 42;
	}
	s->fanout[version] = lw_fanout_order_new(sl);
	lw_meshframe_pack_servers(&packed, sl);
	lw_revdoc_put(&s->document, version,
		      (lw_str_t){ lw_bytebuf_head(&packed), lw_bytebuf_len(&packed) });
	s->list_bytes[version] = (uint32_t)lw_revdoc_encode(&s->document, 0)->len;
	s->step_bytes[version] = (uint32_t)lw_revdoc_encode(&s->document, before)->len;
	lw_bytebuf_free(&packed);
}

static void on_list(lw_spread_t *s)
{
	uint64_t passed_us = s->now_us - REGISTER_FROM_US;
	uint32_t n = (uint32_t)((uint64_t)s->hosts * passed_us / REGISTER_WITHIN_US);

	if (n > s->hosts)
		n = s->hosts;
	if (n > s->list[s->newest_list].nservers) {
		s->newest_list++;
		make_list(s, s->newest_list, n);
		end_waiting_calls(s);
	}
	if (n < s->hosts)
		push(s, (event_t){ .kind = EVENT_LIST, .at_us = s->now_us + LIST_STEP_US });
}

static void on_config(lw_spread_t *s)
{
	s->newest_config++;
	s->config_us = s->now_us;
	/* a list without servers is a document, too */
	if (!s->newest_list) {
		s->newest_list = 1;
		make_list(s, 1, 0);
	}
	end_waiting_calls(s);
}

static void handle(lw_spread_t *s, const event_t *e)
{
	node_t *n = &s->node[e->node];
	bool of_node = e->kind != EVENT_LIST && e->kind != EVENT_CONFIG && e->kind != EVENT_START;
	bool from_node = e->kind == EVENT_STATUS || e->kind == EVENT_DOCUMENT;

	if (of_node && (!n->up || n->incarnation != e->incarnation))
		return;
	if (from_node && s->node[e->from].incarnation != e->from_incarnation)
		return;
	if ((e->kind == EVENT_READ || e->kind == EVENT_CALL) && e->from != n->reading_number)
		return;
	switch (e->kind) {
	case EVENT_START:
		start_process(s, e->node);
		break;
	case EVENT_STEP:
		on_step(s, e->node);
		break;
	case EVENT_STATUS:
		on_status(s, e);
		break;
	case EVENT_DOCUMENT:
		on_document(s, e);
		break;
	case EVENT_READ:
		on_read(s, e->node);
		break;
	case EVENT_CALL:
		if (n->wants_reading)
			begin_call(s, e->node);
		else
			n->reading = READING_NOT;
		break;
	case EVENT_LIST:
		on_list(s);
		break;
	case EVENT_CONFIG:
		on_config(s);
		break;
	}
}

/*
 * lw_spread_new() - a fleet of @hosts that start together; their servers enter the list in the
 * seconds after it.
 */
lw_spread_t *lw_spread_new(uint32_t hosts, uint64_t seed)
{
	lw_spread_t *s = xcalloc(1, sizeof(*s));

	s->hosts = hosts < LW_SPREAD_HOSTS_MAX ? hosts : LW_SPREAD_HOSTS_MAX;
	s->rng = seed * 2654435769u | 1;
	s->node = xcalloc(s->hosts, sizeof(*s->node));
	s->order = xcalloc(s->hosts, sizeof(*s->order));
	s->store_answers = true;
	for (uint32_t i = 0; i < s->hosts; i++) {
		node_t *n = &s->node[i];
		uint32_t k = random_below(s, i + 1);

		snprintf(n->backend, sizeof(n->backend), "10.0.%u.%u:80", i / 250, i % 250);
		snprintf(n->zone, sizeof(n->zone), "zone-%u", i % LW_SPREAD_ZONES);
		s->order[i] = s->order[k];
		s->order[k] = i;
		push(s, (event_t){ .kind = EVENT_START,
				   .node = i,
				   .at_us = random_below(s, START_WITHIN_US) });
	}
	push(s, (event_t){ .kind = EVENT_CONFIG, .at_us = FIRST_CONFIG_US });
	push(s, (event_t){ .kind = EVENT_LIST, .at_us = REGISTER_FROM_US });
	return s;
}

/* lw_spread_free() - releases the model. */
void lw_spread_free(lw_spread_t *s)
{
	link_t *l, *next;

	HASH_ITER(hh, s->links, l, next)
	{
		HASH_DEL(s->links, l);
		free(l);
	}
	for (uint32_t v = 1; v <= s->newest_list; v++) {
		lw_fanout_order_free(s->fanout[v]);
		free(s->list[v].servers);
	}
	lw_revdoc_free(&s->document);
	free(s->heap);
	free(s->order);
	free(s->node);
	free(s);
}

/* lw_spread_run_until() - runs the fleet until @at_us after the first start. */
void lw_spread_run_until(lw_spread_t *s, uint64_t at_us)
{
	while (s->nevents && s->heap[0].at_us <= at_us) {
		event_t e = pop(s);

		s->now_us = e.at_us;
		handle(s, &e);
	}
	s->now_us = at_us;
}

/* lw_spread_change_config() - the operator writes a new configuration now. */
void lw_spread_change_config(lw_spread_t *s)
{
	on_config(s);
}

/* lw_spread_set_store() - whether the store answers from now on. */
void lw_spread_set_store(lw_spread_t *s, bool answers)
{
	s->store_answers = answers;
}

/* lw_spread_refuse() - whether the store rejects the calls of @host from now on. */
void lw_spread_refuse(lw_spread_t *s, uint32_t host, bool refused)
{
	s->node[host].refused = refused;
}

/* lw_spread_kill() - the process of @host ends now and starts again after @restart_us. */
void lw_spread_kill(lw_spread_t *s, uint32_t host, uint64_t restart_us)
{
	node_t *n = &s->node[host];

	n->up = false;
	n->incarnation++;
	push(s, (event_t){ .kind = EVENT_START, .node = host, .at_us = s->now_us + restart_us });
}

/* lw_spread_has_rank_below() - whether the rank of @host is below @rank. */
bool lw_spread_has_rank_below(const lw_spread_t *s, uint32_t host, uint32_t rank)
{
	return s->node[host].up && s->node[host].plan.rank < rank;
}

/* lw_spread_forwards() - whether @host forwards updates to other nodes. */
bool lw_spread_forwards(const lw_spread_t *s, uint32_t host)
{
	return s->node[host].up && s->node[host].plan.nchildren;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* sorts and frees @ms */
static lw_spread_times_t times_of(double *ms, uint32_t n)
{
	lw_spread_times_t t = { .n = n };

	if (n) {
		qsort(ms, n, sizeof(*ms), by_value);
		t.first = ms[0];
		t.middle = ms[n / 2];
		t.last = ms[n - 1];
	}
	free(ms);
	return t;
}

/* lw_spread_config_times() - from the writing of the newest configuration until nodes have it. */
lw_spread_times_t lw_spread_config_times(const lw_spread_t *s)
{
	double *ms = xcalloc(s->hosts, sizeof(*ms));
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->hosts; i++)
		if (s->node[i].up && s->node[i].config == s->newest_config)
			ms[n++] = (double)(s->node[i].config_us - s->config_us) / 1000;
	return times_of(ms, n);
}

/*
 * lw_spread_start_times() - from the start of each process that started at @since_us or later
 * until it had both documents.
 */
lw_spread_times_t lw_spread_start_times(const lw_spread_t *s, uint64_t since_us)
{
	double *ms = xcalloc(s->hosts, sizeof(*ms));
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->hosts; i++)
		if (s->node[i].up && s->node[i].joined_us && s->node[i].started_us >= since_us)
			ms[n++] = (double)(s->node[i].joined_us - s->node[i].started_us) / 1000;
	return times_of(ms, n);
}

/* lw_spread_calls() - calls to the store for the reason @why. */
uint64_t lw_spread_calls(const lw_spread_t *s, lw_storereader_reason_t why)
{
	return s->calls[why];
}

/* lw_spread_reset_counts() - all counts of nodes and of calls to the store start anew. */
void lw_spread_reset_counts(lw_spread_t *s)
{
	for (uint32_t i = 0; i < s->hosts; i++)
		s->node[i].counts = (lw_spread_counts_t){ 0 };
	memset(s->calls, 0, sizeof(s->calls));
}

/* lw_spread_count() - what @host did since the counts were reset. */
lw_spread_counts_t lw_spread_count(lw_spread_t *s, uint32_t host)
{
	lw_spread_counts_t *c = &s->node[host].counts;

	c->links = 0;
	for (const link_t *l = s->links; l; l = l->hh.next)
		if ((l->key >> 32 == host || (uint32_t)l->key == host) && is_open(s, l))
			c->links++;
	return *c;
}
