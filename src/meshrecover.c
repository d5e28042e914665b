/*
 * Handles connections that were lost with requests in flight, and answers outcome queries
 * of nodes that sent requests over such a connection. meshquery.c implements the querying
 * side.
 */
#include "mesh_int.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "xalloc.h"

/*
 * How long a request keeps running after its connection was lost, in case its sender
 * queries its outcome, in us. Must be below the 500 ms after which work for a caller that
 * has left must have stopped.
 */
#define ORPHAN_GRACE_US 300000

/*
 * lw_stream_unsent() - returns true if no byte of the request has left this host. The
 * position of a moved stream refers to its first connection; compared with its current
 * connection, a running request would look unsent. So the received flag is checked first.
 */
bool lw_stream_unsent(const lw_stream_t *s)
{
	return !s->received && s->open_offset >= s->link->written_total;
}

/* lw_link_drop_streams() - ends every request on a closed connection and reports its outcome. */
void lw_link_drop_streams(lw_link_t *l)
{
	uint32_t nunsent = 0, nmoved = 0, n = HASH_COUNT(l->streams);
	lw_stream_t *s;

	while ((s = l->streams) != NULL) {
		lw_sink_t *sink = s->call.sink;
		lw_call_t *job = s->job;
		bool unsent = lw_stream_unsent(s);

		nunsent += unsent && !job;
		nmoved += s->id >= LW_STREAM_MOVED_MIN;
		lw_stream_free(s);
		if (job)
			job->ops->cancel(job);
		else if (sink)
			sink->ops->fail(sink, unsent ? LW_FAIL_UNSENT : LW_FAIL_BROKEN, 0, NULL);
	}
	if (n)
		lw_log(LW_LOG_link_ended,
		       "node=%s link=%016llx outgoing=%d streams=%u unsent=%u moved_here=%u written=%llu waited_ms=%llu",
		       l->node, (unsigned long long)l->name, l->outgoing, n, nunsent, nmoved,
		       (unsigned long long)l->written_total,
		       l->orphan_us ?
			       (unsigned long long)((l->mesh->evloop->now_us - l->orphan_us) /
						    1000) :
			       0);
	lw_link_free(l);
}

/*
 * lw_link_drop_unsent() - fails the requests that were not written yet as unsent, because
 * the peer has announced that it is about to exit. They are then sent to other nodes.
 */
void lw_link_drop_unsent(lw_link_t *l)
{
	lw_stream_t *s, *tmp;

	lw_link_discard_held(l);
	HASH_ITER(hh, l->streams, s, tmp)
	{
		lw_sink_t *sink = s->call.sink;

		if (s->dead || !sink || !lw_stream_unsent(s))
			continue;
		lw_stream_free(s);
		sink->ops->fail(sink, LW_FAIL_UNSENT, 0, NULL);
	}
}

/*
 * lw_link_can_recover() - returns true if the requests on a lost connection may still
 * continue or be answered.
 */
bool lw_link_can_recover(const lw_link_t *l)
{
	return l->outgoing ? l->peer_incarnation != 0 : l->name != 0;
}

static void remove_orphan(lw_link_t *l)
{
	lw_link_t **at = &l->mesh->orphans;

	while (*at && *at != l)
		at = &(*at)->next;
	if (*at)
		*at = l->next;
}

/* lw_link_orphan() - keeps the requests of a lost connection for a short time. */
void lw_link_orphan(lw_link_t *l)
{
	lw_mesh_t *m = l->mesh;

	l->orphan_us = m->evloop->now_us;
	l->next = m->orphans;
	m->orphans = l;
	if (!ev_is_active(&m->watch_timer))
		ev_timer_again(m->evloop->loop, &m->watch_timer);
	if (l->outgoing)
		lw_mesh_query_link(l);
}

static void end_orphan(lw_link_t *l)
{
	remove_orphan(l);
	lw_link_drop_streams(l);
}

/*
 * lw_mesh_peer_gone() - fails the requests that wait on lost connections to @node, as no
 * process listens there: it has exited and will not answer. A lost connection alone does
 * not prove this: an older, silent connection is also closed when no request is left on it,
 * and ending the wait then would drop responses that are on their way (502 for requests
 * that are being executed).
 */
void lw_mesh_peer_gone(lw_mesh_t *m, const char *node)
{
	lw_link_t *next;

	for (lw_link_t *l = m->orphans; l; l = next) {
		next = l->next;
		if (l->outgoing && strcmp(l->node, node) == 0)
			end_orphan(l);
	}
}

/* returns the connection that another node opened under the id @name; NULL if unknown */
static lw_link_t *link_by_name(const lw_mesh_t *m, uint64_t name)
{
	lw_link_t *l;

	for (l = m->links; l; l = l->next)
		if (l->name == name && !l->outgoing)
			return l;
	for (l = m->orphans; l; l = l->next)
		if (l->name == name && !l->outgoing)
			return l;
	return NULL;
}

/*
 * returns true if the request can continue on another connection: no part of it was lost in
 * transit
 */
static bool can_move(const lw_stream_t *s)
{
	return s->job && s->request_complete && !s->response_started;
}

/*
 * Returns true if request @id of connection @link never arrived. @old is that connection if
 * it is still known. A node of an older version names a moved stream by its id on @link
 * (LW_STREAM_MOVED_MIN or above); such a stream did arrive and must not be sent elsewhere.
 */
static bool never_arrived(const lw_mesh_t *m, uint64_t link, const lw_link_t *old, uint32_t id)
{
	if (id >= LW_STREAM_MOVED_MIN)
		return false;
	if (old)
		return id >= old->last_open;
	return lw_meshclosed_never_received(&m->closed_links, link, id, m->evloop->now_us);
}

/*
 * determines the outcome of request @id of the queried connection; @old is that connection
 * if it is still known
 */
static void determine_outcome(lw_link_t *to, const Lw__FateQuery *q, const lw_link_t *old,
			      uint32_t id, Lw__Fate *fate)
{
	lw_mesh_t *m = to->mesh;
	lw_stream_t *s = lw_stream_by_origin(m->incoming, q->link, id);

	lw__fate__init(fate);
	fate->stream = id;
	if (!s && lw_meshoutcomes_find(&m->outcomes, q->link, id)) {
		fate->kind = LW__FATE_KIND__FATE_MOVED;
		fate->moved_to = to->next_moved++;
		return;
	}
	if (!s) {
		if (never_arrived(m, q->link, old, id))
			fate->kind = LW__FATE_KIND__FATE_NEVER;
		return;
	}
	if (q->number && q->number < s->query_number)
		return; /* a newer query was received: the sender waits for the reply to that */
	s->query_number = q->number;
	if (!can_move(s))
		return;
	s->named_by = m->queries_handled;
	if (s->link != to)
		lw_stream_move(s, to, to->next_moved++);
	fate->kind = LW__FATE_KIND__FATE_MOVED;
	fate->moved_to = s->id;
}

/* lw_mesh_count_fates() - returns how many outcomes in @w are of @kind. */
uint32_t lw_mesh_count_fates(const Lw__Fates *w, Lw__FateKind kind)
{
	uint32_t n = 0;

	for (size_t i = 0; i < w->n_fates; i++)
		n += w->fates[i]->kind == kind;
	return n;
}

static void log_fates(const lw_link_t *l, const lw_link_t *old, const Lw__Fates *w)
{
	lw_log(LW_LOG_fate_told,
	       "link=%016llx over=%016llx known=%d lost=%d opened=%u streams=%zu moved=%u never=%u maybe_ran=%u incarnation=%016llx",
	       (unsigned long long)w->link, (unsigned long long)l->name, old != NULL,
	       old && old->orphan_us, old ? old->last_open : 0, w->n_fates,
	       lw_mesh_count_fates(w, LW__FATE_KIND__FATE_MOVED),
	       lw_mesh_count_fates(w, LW__FATE_KIND__FATE_NEVER),
	       lw_mesh_count_fates(w, LW__FATE_KIND__FATE_GONE),
	       (unsigned long long)w->incarnation);
}

/*
 * sends the retained outcomes of finished requests: their responses may have been lost with
 * the connection
 */
static void send_outcomes(lw_link_t *l, const Lw__Fates *w)
{
	for (size_t i = 0; i < w->n_fates; i++) {
		const Lw__Fate *fate = w->fates[i];
		const lw_retained_outcome_t *o =
			lw_meshoutcomes_find(&l->mesh->outcomes, w->link, fate->stream);

		if (o && fate->kind == LW__FATE_KIND__FATE_MOVED)
			lw_mesh_send_outcome(l, fate->moved_to, o);
	}
}

static void send_fates(lw_link_t *l, const Lw__FateQuery *q, const lw_link_t *old)
{
	Lw__Fate *fate = xcalloc(q->n_streams + 1, sizeof(*fate));
	Lw__Fate **list = xcalloc(q->n_streams + 1, sizeof(void *));
	Lw__Fates w = LW__FATES__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	for (size_t i = 0; i < q->n_streams; i++) {
		determine_outcome(l, q, old, q->streams[i], &fate[i]);
		list[i] = &fate[i];
	}
	w.link = q->link;
	w.incarnation = l->mesh->incarnation;
	w.n_fates = q->n_streams;
	w.fates = list;
	f.body_case = LW__MESH_FRAME__BODY_FATES;
	f.fates = &w;
	lw_link_send(l, &f);
	log_fates(l, old, &w);
	send_outcomes(l, &w);
	free(list);
	free(fate);
}

/*
 * Cancels the requests of the queried connection that this query did not move: the sender
 * has given them up or was told that they may have been executed. Requests moved by a newer
 * query stay. A node of an older version does not number its queries and names only what is
 * still on the connection.
 */
static void cancel_unnamed(lw_mesh_t *m, const Lw__FateQuery *q, const lw_link_t *old)
{
	lw_stream_t **ended = xcalloc(HASH_CNT(by_origin, m->incoming) + 1, sizeof(void *));
	size_t n = 0;

	for (lw_stream_t *s = m->incoming; s; s = s->by_origin.next)
		if (s->origin.link == q->link && s->named_by != m->queries_handled &&
		    (q->number ? s->query_number <= q->number : s->link == old))
			ended[n++] = s;
	/* cancelling one request may end others */
	for (size_t i = 0; i < n; i++) {
		lw_call_t *job = ended[i]->job;

		if (ended[i]->dead)
			continue;
		lw_stream_free(ended[i]);
		if (job)
			job->ops->cancel(job);
	}
	free(ended);
}

/*
 * lw_mesh_on_query() - a peer queries the outcomes of requests that it sent over another
 * connection. Nothing more is accepted from that connection.
 */
void lw_mesh_on_query(lw_link_t *l, const Lw__FateQuery *q)
{
	lw_mesh_t *m = l->mesh;
	lw_link_t *old = link_by_name(m, q->link);

	if (old == l)
		old = NULL;
	m->queries_handled++;
	send_fates(l, q, old);
	if (old || !lw_meshclosed_has(&m->closed_links, q->link))
		lw_meshclosed_add(&m->closed_links, q->link, old ? old->last_open : 0,
				  m->evloop->now_us);
	cancel_unnamed(m, q, old);
	if (old && !old->orphan_us)
		lw_link_lost(old);
}

/*
 * lw_mesh_check_orphans() - ends requests of other nodes on lost connections if their
 * sender does not query them in time, and retries the outcome queries of this node.
 */
void lw_mesh_check_orphans(lw_mesh_t *m)
{
	lw_link_t *next;

	for (lw_link_t *l = m->orphans; l; l = next) {
		next = l->next;
		if (!l->streams ||
		    (!l->outgoing && m->evloop->now_us - l->orphan_us > ORPHAN_GRACE_US))
			end_orphan(l);
	}
	lw_mesh_retry_queries(m);
}
