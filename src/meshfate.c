/*
 * What became of requests whose connection went silent or was lost. Failure it
 * guards against: something between two hosts loses track of open connections
 * while new ones work, or resets them. The requests on them end as "may have
 * run" although most wait in a buffer or run on undisturbed; seen as a wave of
 * 502 and 504 with healthy servers. The peer is asked on a new connection:
 * what it never received is placed elsewhere, what runs there is answered over
 * the new connection.
 */
#include "mesh_int.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "xalloc.h"

/* no answer to the question after this: the peer is suspended or gone, us */
#define FATE_WAIT_US 600000
/*
 * A request whose connection was lost runs on for so long, in case its sender
 * asks. Shorter than the half second in which the work of a caller that left
 * must have stopped, us.
 */
#define ORPHAN_WAIT_US 300000

/*
 * lw_stream_unsent() - whether none of its bytes left this host. A stream that moved here counts its bytes on
 * its first connection: compared with this one's, a request that runs looked unsent.
 */
bool lw_stream_unsent(const lw_stream_t *s)
{
	return !s->received && s->open_at >= s->link->written_total;
}

/* lw_link_drop_streams() - every request on a closed connection has its outcome now. */
void lw_link_drop_streams(lw_link_t *l)
{
	uint32_t nunsent = 0, nmoved = 0, n = HASH_COUNT(l->streams);
	lw_stream_t *s;

	while ((s = l->streams) != NULL) {
		lw_sink_t *sink = s->call.sink;
		lw_call_t *job = s->job;
		bool unsent = lw_stream_unsent(s);

		nunsent += unsent && !job;
		nmoved += s->id >= LW_STREAM_MOVED;
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
			       (unsigned long long)((l->mesh->hub->now_us - l->orphan_us) / 1000) :
			       0);
	lw_link_free(l);
}

/*
 * lw_link_drop_unsent() - the peer is about to exit, as it says: what it has not
 * been sent goes elsewhere instead of meeting the exit.
 */
void lw_link_drop_unsent(lw_link_t *l)
{
	lw_stream_t *s, *tmp;

	lw_link_cut_held(l);
	HASH_ITER(hh, l->streams, s, tmp)
	{
		lw_sink_t *sink = s->call.sink;

		if (s->dead || !sink || !lw_stream_unsent(s))
			continue;
		lw_stream_free(s);
		sink->ops->fail(sink, LW_FAIL_UNSENT, 0, NULL);
	}
}

/* lw_link_may_wait() - whether the streams of a lost connection may have another fate. */
bool lw_link_may_wait(const lw_link_t *l)
{
	return l->outgoing ? l->peer_incarnation != 0 : l->name != 0;
}

static void unlink_orphan(lw_link_t *l)
{
	lw_link_t **at = &l->mesh->orphans;

	while (*at && *at != l)
		at = &(*at)->next;
	if (*at)
		*at = l->next;
}

/* no question about @l was answered in time: all its streams may be asked after again */
static void forget_questions(lw_link_t *l)
{
	for (lw_stream_t *s = l->streams; s; s = s->hh.next)
		s->asked = false;
}

/* lw_link_orphan() - keep the streams of a lost connection for a moment. */
void lw_link_orphan(lw_link_t *l)
{
	lw_mesh_t *m = l->mesh;

	l->orphan_us = m->hub->now_us;
	l->next = m->orphans;
	m->orphans = l;
	if (!ev_is_active(&m->watch))
		ev_timer_again(m->hub->loop, &m->watch);
	if (!l->outgoing)
		return;
	if (!l->query_us)
		forget_questions(l);
	lw_mesh_ask_fate(l);
}

static void orphan_over(lw_link_t *l)
{
	unlink_orphan(l);
	lw_link_drop_streams(l);
}

/* the streams of @l that no question has named, from now on named in one; the caller frees them */
static uint32_t *name_streams(lw_link_t *l, size_t *n)
{
	uint32_t *ids = xcalloc(HASH_COUNT(l->streams) + 1, sizeof(*ids));
	lw_stream_t *s, *tmp;

	HASH_ITER(hh, l->streams, s, tmp)
	{
		if (!s->asked)
			ids[(*n)++] = s->id;
		s->asked = true;
	}
	return ids;
}

static bool all_asked(const lw_link_t *l)
{
	for (const lw_stream_t *s = l->streams; s; s = s->hh.next)
		if (!s->asked)
			return false;
	return true;
}

/*
 * lw_mesh_ask_fate() - ask the peer what became of the requests on @l. The peer
 * ends all that a question does not name, so those that come to @l after one
 * have a question of their own.
 */
void lw_mesh_ask_fate(lw_link_t *l)
{
	lw_mesh_t *m = l->mesh;
	Lw__FateQuery q = LW__FATE_QUERY__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;
	lw_link_t *other;
	uint32_t *ids;

	if (all_asked(l))
		return;
	l->query_us = m->hub->now_us;
	other = lw_link_to(m, l->node);
	if (!other)
		return;
	ids = name_streams(l, &q.n_streams);
	q.link = l->name;
	q.streams = ids;
	f.body_case = LW__MESH_FRAME__BODY_QUERY;
	f.query = &q;
	lw_link_send(other, &f);
	m->stats.queries++;
	lw_log(LW_LOG_fate_asked, "node=%s link=%016llx over=%016llx streams=%zu lost=%d new=%d",
	       l->node, (unsigned long long)l->name, (unsigned long long)other->name, q.n_streams,
	       l->orphan_us != 0, other->connecting);
	free(ids);
}

/* the connection cannot ask: what waits for it has no better outcome coming */
static void query_over(lw_link_t *l)
{
	lw_stream_t *s, *tmp;

	if (l->orphan_us) {
		orphan_over(l);
		return;
	}
	l->query_us = 0;
	HASH_ITER(hh, l->streams, s, tmp)
	{
		if (!s->dead && s->call.sink)
			s->call.sink->ops->silent(s->call.sink);
	}
}

/*
 * lw_mesh_peer_gone() - nobody listens at @node: its process is gone, and nothing
 * more will be heard of what it ran. A lost connection alone does not say so: an
 * older silent one, closed as nobody waited on it any more, ended the wait for
 * answers that were on their way (502 for orders at work).
 */
void lw_mesh_peer_gone(lw_mesh_t *m, const char *node)
{
	lw_link_t *next;

	for (lw_link_t *l = m->orphans; l; l = next) {
		next = l->next;
		if (l->outgoing && l->query_us && strcmp(l->node, node) == 0)
			orphan_over(l);
	}
}

/* lw_mesh_is_refused() - whether a connection may bring nothing more. */
bool lw_mesh_is_refused(const lw_mesh_t *m, uint64_t name)
{
	uint32_t n = m->nrefused < LW_MESH_REFUSED ? m->nrefused : LW_MESH_REFUSED;

	for (uint32_t i = 0; name && i < n; i++)
		if (m->refused[i] == name)
			return true;
	return false;
}

static void refuse_name(lw_mesh_t *m, uint64_t name)
{
	m->refused[m->nrefused++ % LW_MESH_REFUSED] = name;
}

static lw_link_t *link_by_name(const lw_mesh_t *m, uint64_t name, bool outgoing)
{
	lw_link_t *l;

	for (l = m->links; l; l = l->next)
		if (l->name == name && l->outgoing == outgoing)
			return l;
	for (l = m->orphans; l; l = l->next)
		if (l->name == name && l->outgoing == outgoing)
			return l;
	return NULL;
}

/* the request goes on over @to, if nothing of it was lost on the way */
static void move_stream(lw_stream_t *s, lw_link_t *to, Lw__Fate *fate)
{
	if (!s->request_whole || s->answering)
		return;
	HASH_DEL(s->link->streams, s);
	s->link = to;
	s->id = to->next_moved++;
	HASH_ADD(hh, to->streams, id, sizeof(s->id), s);
	fate->kind = LW__FATE_KIND__FATE_MOVED;
	fate->moved_to = s->id;
}

/*
 * The connection asked about is known: what it brought is known, and it will
 * bring nothing more. One that is not known and was not refused never reached
 * this process, or is long over: it may have run.
 */
static void find_fate(lw_link_t *old, lw_link_t *to, uint32_t id, Lw__Fate *fate)
{
	lw_stream_t *s;

	lw__fate__init(fate);
	fate->stream = id;
	if (!old)
		return;
	HASH_FIND(hh, old->streams, &id, sizeof(id), s);
	if (s && s->job)
		move_stream(s, to, fate);
	else if (id < LW_STREAM_MOVED && id >= old->last_open)
		fate->kind = LW__FATE_KIND__FATE_NEVER;
}

static uint32_t count_kind(const Lw__Fates *w, Lw__FateKind kind)
{
	uint32_t n = 0;

	for (size_t i = 0; i < w->n_fates; i++)
		n += w->fates[i]->kind == kind;
	return n;
}

static void log_told(const lw_link_t *l, const lw_link_t *old, const Lw__Fates *w)
{
	lw_log(LW_LOG_fate_told,
	       "link=%016llx over=%016llx known=%d lost=%d opened=%u streams=%zu moved=%u never=%u maybe_ran=%u incarnation=%016llx",
	       (unsigned long long)w->link, (unsigned long long)l->name, old != NULL,
	       old && old->orphan_us, old ? old->last_open : 0, w->n_fates,
	       count_kind(w, LW__FATE_KIND__FATE_MOVED), count_kind(w, LW__FATE_KIND__FATE_NEVER),
	       count_kind(w, LW__FATE_KIND__FATE_GONE), (unsigned long long)w->incarnation);
}

/* lw_mesh_on_query() - a peer asks what became of requests on another connection. */
void lw_mesh_on_query(lw_link_t *l, const Lw__FateQuery *q)
{
	lw_mesh_t *m = l->mesh;
	lw_link_t *old = link_by_name(m, q->link, false);
	Lw__Fate *fate = xcalloc(q->n_streams + 1, sizeof(*fate));
	Lw__Fate **list = xcalloc(q->n_streams + 1, sizeof(void *));
	Lw__Fates w = LW__FATES__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	if (old == l)
		old = NULL;
	refuse_name(m, q->link);
	for (size_t i = 0; i < q->n_streams; i++) {
		find_fate(old, l, q->streams[i], &fate[i]);
		list[i] = &fate[i];
	}
	w.link = q->link;
	w.incarnation = m->incarnation;
	w.n_fates = q->n_streams;
	w.fates = list;
	f.body_case = LW__MESH_FRAME__BODY_FATES;
	f.fates = &w;
	lw_link_send(l, &f);
	log_told(l, old, &w);
	free(list);
	free(fate);
	if (!old)
		return;
	/* the rest of its requests were given up or answered */
	if (old->orphan_us)
		orphan_over(old);
	else
		lw_link_lost(old);
}

/* what became of one request; @old: its connection, NULL if nothing waits on it */
static void take_fate(lw_link_t *old, lw_link_t *l, const Lw__Fate *fate, bool same_process)
{
	uint32_t id = fate->stream;
	lw_stream_t *s = NULL;
	lw_sink_t *sink;

	if (old)
		HASH_FIND(hh, old->streams, &id, sizeof(id), s);
	if (!s || s->dead || !s->call.sink) {
		/* given up before this was heard: the word of that went to a closed connection */
		if (fate->kind == LW__FATE_KIND__FATE_MOVED)
			lw_mesh_send_cancel(l, fate->moved_to);
		return;
	}
	if (same_process && fate->kind == LW__FATE_KIND__FATE_MOVED) {
		HASH_DEL(old->streams, s);
		s->link = l;
		s->id = fate->moved_to;
		s->received = true;
		s->asked = false;
		HASH_ADD(hh, l->streams, id, sizeof(s->id), s);
		l->mesh->stats.moved++;
		return;
	}
	sink = s->call.sink;
	lw_stream_free(s);
	if (same_process && fate->kind == LW__FATE_KIND__FATE_NEVER) {
		l->mesh->stats.never_received++;
		sink->ops->fail(sink, LW_FAIL_UNSENT, 0, NULL);
	} else {
		sink->ops->fail(sink, LW_FAIL_BROKEN, 0, NULL);
	}
}

/* lw_mesh_on_fates() - the peer tells what became of requests on a lost connection. */
void lw_mesh_on_fates(lw_link_t *l, const Lw__Fates *w)
{
	lw_link_t *old = link_by_name(l->mesh, w->link, true);
	bool same;

	lw_log(LW_LOG_fate_heard,
	       "node=%s link=%016llx over=%016llx known=%d lost=%d moved=%u never=%u maybe_ran=%u incarnation=%016llx before=%016llx",
	       l->node, (unsigned long long)w->link, (unsigned long long)l->name, old != NULL,
	       old && old->orphan_us, count_kind(w, LW__FATE_KIND__FATE_MOVED),
	       count_kind(w, LW__FATE_KIND__FATE_NEVER), count_kind(w, LW__FATE_KIND__FATE_GONE),
	       (unsigned long long)w->incarnation,
	       old ? (unsigned long long)old->peer_incarnation : 0);
	if (old == l)
		return;
	same = old && old->peer_incarnation && old->peer_incarnation == w->incarnation;
	for (size_t i = 0; i < w->n_fates; i++)
		take_fate(old, l, w->fates[i], same);
	if (l->silent)
		lw_mesh_ask_fate(l);
	if (!old || old->streams)
		return;
	if (old->orphan_us)
		orphan_over(old);
	else
		lw_link_lost(old);
}

/* lw_mesh_check_orphans() - end the wait of lost and silent connections. */
void lw_mesh_check_orphans(lw_mesh_t *m)
{
	uint64_t now = m->hub->now_us;
	lw_link_t *next;

	for (lw_link_t *l = m->orphans; l; l = next) {
		next = l->next;
		if (now - l->orphan_us > (l->outgoing ? FATE_WAIT_US : ORPHAN_WAIT_US) ||
		    !l->streams)
			orphan_over(l);
	}
	for (lw_link_t *l = m->links; l; l = next) {
		next = l->next;
		if (l->silent && l->query_us && now - l->query_us > FATE_WAIT_US)
			query_over(l);
	}
}
