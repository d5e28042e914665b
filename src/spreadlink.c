/* Connections between nodes and what they carry; see spreadsim_int.h. */
#include "spreadsim_int.h"

#include "xalloc.h"

/* bytes per us of a host's link: 200 Mbit/s */
#define LINK_BYTES_PER_US 25
#define STATUS_BYTES	  100
#define LINK_IDLE_US	  10000000

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
		*extra_us = 2 * LW_SPREAD_HOP_US;
	}
	l->incarnation[0] = a->incarnation;
	l->incarnation[1] = b->incarnation;
	l->used_us = s->now_us;
}

bool lw_spread_is_open(const lw_spread_t *s, const link_t *l)
{
	const node_t *a = &s->node[l->key >> 32], *b = &s->node[(uint32_t)l->key];

	return l->incarnation[0] == a->incarnation && l->incarnation[1] == b->incarnation &&
	       a->up && b->up && s->now_us - l->used_us <= LINK_IDLE_US;
}

/* puts @bytes on the link of @from; returns when the last one has arrived, us from now */
uint64_t lw_spread_transmit(lw_spread_t *s, uint32_t from, size_t bytes)
{
	node_t *n = &s->node[from];

	if (n->busy_until_us < s->now_us)
		n->busy_until_us = s->now_us;
	n->busy_until_us += bytes / LINK_BYTES_PER_US;
	n->counts.bytes += bytes;
	n->counts.messages++;
	return n->busy_until_us - s->now_us + LW_SPREAD_HOP_US;
}

/* @reply: over a connection that the other node has opened */
void lw_spread_send_status(lw_spread_t *s, uint32_t from, uint32_t to, bool wants_reply, bool reply,
			   bool read_store)
{
	const node_t *n = &s->node[from];
	uint64_t extra_us = 0;

	if (!reply)
		use_link(s, from, to, &extra_us);
	lw_spread_push(s, (event_t){ .kind = EVENT_STATUS,
				     .at_us = s->now_us + extra_us +
					      lw_spread_transmit(s, from, STATUS_BYTES),
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
