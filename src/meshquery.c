/*
 * Queries the outcomes of requests whose connection was lost or became silent. A device
 * between two hosts can reset open connections, or lose track of them while new ones work,
 * and a host can be suspended for a moment. Without a query the requests on such a
 * connection end as "may have been executed", although most of them wait in a buffer or are
 * executed normally; callers see a burst of 502 and 504 with healthy servers. The peer is
 * queried over another connection until a query succeeds: requests it never received are
 * sent elsewhere, and those it executes are answered over the new connection.
 */
#include "mesh_int.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "xalloc.h"

/*
 * If a query has no reply after this time, the peer is suspended or gone, in us. Requests
 * that may be executed twice are then sent elsewhere; all others continue to wait.
 */
#define QUERY_TIMEOUT_US 600000

/*
 * lw_mesh_reset_queries() - marks the queries sent over @l, which was lost or went silent,
 * as unsent, so that they are sent again over another connection. Otherwise a request that
 * the peer has answered, or never received, would end as 504 or 502 whenever a host is
 * suspended for longer than the handshake timeout.
 */
void lw_mesh_reset_queries(const lw_link_t *l)
{
	if (!l->outgoing)
		return;
	for (lw_stream_t *s = l->mesh->sent; s; s = s->by_origin.next)
		if (s->query_link == l->name)
			s->query_link = 0;
}

/*
 * returns the ids of all unfinished requests sent over @link and marks them as queried over
 * @over; the caller frees the result
 */
static uint32_t *list_streams(lw_mesh_t *m, uint64_t link, const lw_link_t *over, size_t *n)
{
	uint32_t *ids = xcalloc(HASH_CNT(by_origin, m->sent), sizeof(*ids));

	for (lw_stream_t *s = m->sent; s; s = s->by_origin.next) {
		if (s->origin.link != link)
			continue;
		ids[(*n)++] = (uint32_t)s->origin.id;
		s->query_link = over->name;
		if (!s->query_us)
			s->query_us = m->evloop->now_us;
	}
	return ids;
}

/*
 * Queries all requests sent over @link. The query must name all of them, as the peer
 * cancels what it does not name, and the peer may not know on which connection the sender
 * believes a request to be, for example when the reply that moved it was lost.
 */
static void send_query(lw_link_t *over, uint64_t link, bool lost)
{
	lw_mesh_t *m = over->mesh;
	Lw__FateQuery q = LW__FATE_QUERY__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;
	uint32_t *ids = list_streams(m, link, over, &q.n_streams);

	q.link = link;
	q.streams = ids;
	q.number = ++m->queries_sent;
	f.body_case = LW__MESH_FRAME__BODY_QUERY;
	f.query = &q;
	lw_link_send(over, &f);
	over->open_queries++;
	m->stats.queries++;
	lw_log(LW_LOG_fate_asked, "node=%s link=%016llx over=%016llx streams=%zu lost=%d new=%d",
	       over->node, (unsigned long long)link, (unsigned long long)over->name, q.n_streams,
	       lost, over->connecting);
	free(ids);
}

/*
 * lw_mesh_query_link() - queries the outcomes of the requests on @l that have no query in
 * flight.
 */
void lw_mesh_query_link(lw_link_t *l)
{
	for (lw_stream_t *s = l->streams; s; s = s->hh.next) {
		lw_link_t *over;

		if (s->query_link)
			continue;
		over = lw_link_to(l->mesh, l->node);
		if (!over)
			return;
		send_query(over, s->origin.link, l->orphan_us != 0);
	}
}

/*
 * reports requests without a reply for too long as silent, so that those that may be
 * executed twice are sent elsewhere
 */
static void report_silence(lw_mesh_t *m)
{
	lw_stream_t *s, *next;

	for (s = m->sent; s; s = next) {
		next = s->by_origin.next;
		if (s->silence_reported || !s->query_us ||
		    m->evloop->now_us - s->query_us < QUERY_TIMEOUT_US)
			continue;
		s->silence_reported = true;
		s->call.sink->ops->silent(s->call.sink);
	}
}

/*
 * lw_mesh_retry_queries() - repeats lost outcome queries for requests on lost and silent
 * connections.
 */
void lw_mesh_retry_queries(lw_mesh_t *m)
{
	report_silence(m);
	for (lw_link_t *l = m->orphans; l; l = l->next)
		if (l->outgoing)
			lw_mesh_query_link(l);
	for (lw_link_t *l = m->links; l; l = l->next)
		if (l->silent)
			lw_mesh_query_link(l);
}

/* the peer executes the request, and its response comes over @l */
static void resume_stream(lw_stream_t *s, lw_link_t *l, uint32_t id)
{
	lw_stream_move(s, l, id);
	s->received = true;
	s->query_link = 0;
	s->query_us = 0;
	s->silence_reported = false;
	l->mesh->stats.moved++;
}

static bool same_process(const lw_stream_t *s, const Lw__Fates *w)
{
	return s->link->peer_incarnation && s->link->peer_incarnation == w->incarnation;
}

/*
 * applies the outcome of one request, received over @l; returns false if no request waits
 * for it
 */
static bool apply_outcome(lw_link_t *l, const Lw__Fates *w, const Lw__Fate *fate)
{
	lw_stream_t *s = lw_stream_by_origin(l->mesh->sent, w->link, fate->stream);
	bool same;
	lw_sink_t *sink;

	if (!s) {
		/*
		 * cancelled before this outcome arrived, and the cancellation was sent over a
		 * connection that is lost
		 */
		if (fate->kind == LW__FATE_KIND__FATE_MOVED)
			lw_mesh_send_cancel(l, fate->moved_to);
		return false;
	}
	if (s->query_link != l->name)
		return false; /* queried again: only the reply to the latest query counts */
	same = same_process(s, w);
	if (same && fate->kind == LW__FATE_KIND__FATE_MOVED) {
		resume_stream(s, l, fate->moved_to);
		return true;
	}
	sink = s->call.sink;
	lw_stream_free(s);
	if (same && fate->kind == LW__FATE_KIND__FATE_NEVER) {
		l->mesh->stats.never_received++;
		sink->ops->fail(sink, LW_FAIL_UNSENT, 0, NULL);
	} else {
		sink->ops->fail(sink, LW_FAIL_BROKEN, 0, NULL);
	}
	return true;
}

/* closes silent connections to @node that have no requests left */
static void close_empty_silent_links(lw_mesh_t *m, const char *node)
{
	lw_link_t *next;

	for (lw_link_t *l = m->links; l; l = next) {
		next = l->next;
		if (l->silent && !l->streams && strcmp(l->node, node) == 0)
			lw_link_lost(l);
	}
}

/* lw_mesh_on_fates() - the peer replied with the outcomes of requests on a lost connection. */
void lw_mesh_on_fates(lw_link_t *l, const Lw__Fates *w)
{
	char node[LW_NAME_MAX];
	uint32_t waited_for = 0;

	lw_str_copy(node, sizeof(node), lw_str_c(l->node));
	if (l->open_queries)
		l->open_queries--;
	for (size_t i = 0; i < w->n_fates; i++)
		waited_for += apply_outcome(l, w, w->fates[i]);
	lw_log(LW_LOG_fate_heard,
	       "node=%s link=%016llx over=%016llx waited_for=%u moved=%u never=%u maybe_ran=%u incarnation=%016llx before=%016llx",
	       node, (unsigned long long)w->link, (unsigned long long)l->name, waited_for,
	       lw_mesh_count_fates(w, LW__FATE_KIND__FATE_MOVED),
	       lw_mesh_count_fates(w, LW__FATE_KIND__FATE_NEVER),
	       lw_mesh_count_fates(w, LW__FATE_KIND__FATE_GONE), (unsigned long long)w->incarnation,
	       (unsigned long long)l->peer_incarnation);
	if (l->silent)
		lw_mesh_query_link(l);
	close_empty_silent_links(l->mesh, node);
}
