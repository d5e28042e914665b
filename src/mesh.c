/* Connections between nodes; see mesh.h. */
#include "mesh_int.h"

#include "linux/sock.h"
#include "log.h"
#include "xalloc.h"

/* request the peer's status if nothing was received for this time while responses are due, us */
#define SILENT_PROBE_US 200000
/* use another connection if the peer's status has not arrived after this time, us */
#define SILENT_LOST_US 300000
/* check interval of connections with requests in flight, in seconds */
#define WATCH_INTERVAL_S 0.1
/* probe interval of idle connections, which a middlebox may have dropped, us */
#define IDLE_PROBE_US 2000000
/*
 * A connection without requests for this time is closed, us. A node calls a few servers of
 * each service at a time, but all of them in the course of hours; if it kept the connections,
 * their number and the probes over them would grow with the square of the fleet.
 */
#define IDLE_CLOSE_US 10000000
/*
 * A connection on which the peer has not sent its first frame after this time has failed,
 * in us. Requests held back until then carry the remaining time that they had when
 * they were queued.
 */
#define HANDSHAKE_TIMEOUT_US 400000

/* lw_mesh_on_frame() - processes one frame. */
void lw_mesh_on_frame(lw_link_t *l, const Lw__MeshFrame *f)
{
	lw_mesh_t *m = l->mesh;

	switch (f->body_case) {
	case LW__MESH_FRAME__BODY_OPEN:
		lw_mesh_on_open(l, f->open);
		break;
	case LW__MESH_FRAME__BODY_ANSWER:
		lw_mesh_on_answer(l, f->answer);
		break;
	case LW__MESH_FRAME__BODY_DATA:
		lw_mesh_on_data(l, f->data);
		break;
	case LW__MESH_FRAME__BODY_CREDIT:
		lw_mesh_on_credit(l, f->credit);
		break;
	case LW__MESH_FRAME__BODY_CANCEL:
		lw_mesh_on_cancel(l, f->cancel);
		break;
	case LW__MESH_FRAME__BODY_FAILED:
		lw_mesh_on_failed(l, f->failed);
		break;
	case LW__MESH_FRAME__BODY_STATUS:
		lw_mesh_on_status(l, f->status);
		break;
	case LW__MESH_FRAME__BODY_CONFIG:
		m->ops->config_received(m->ctx, lw_meshframe_str(f->config->text));
		break;
	case LW__MESH_FRAME__BODY_QUERY:
		lw_mesh_on_query(l, f->query);
		break;
	case LW__MESH_FRAME__BODY_FATES:
		lw_mesh_on_fates(l, f->fates);
		break;
	case LW__MESH_FRAME__BODY_SERVERS:
		l->peer_revision = f->servers->revision;
		m->ops->servers_received(m->ctx, lw_meshframe_read_servers(f->servers));
		break;
	case LW__MESH_FRAME__BODY_FETCH:
		lw_mesh_on_fetch(l, f->fetch);
		break;
	case LW__MESH_FRAME__BODY_PIECE:
		lw_mesh_on_piece(l, f->piece);
		break;
	case LW__MESH_FRAME__BODY_SUSPECTS:
		lw_mesh_on_suspects(l, f->suspects);
		break;
	case LW__MESH_FRAME__BODY_QUOTA_REPORT:
		lw_mesh_on_quota_report(l, f->quota_report);
		break;
	case LW__MESH_FRAME__BODY_QUOTA_TERMS:
		lw_mesh_on_quota_terms(l, f->quota_terms);
		break;
	default:
		break; /* unknown frame kind of a newer version */
	}
}

/* lw_mesh_connect() - connects to @node if there is no connection yet. */
void lw_mesh_connect(lw_mesh_t *m, const char *node)
{
	lw_link_to(m, node);
}

/*
 * lw_mesh_control_name() - returns the frame kind's name in metrics; NULL for frames of
 * requests and responses.
 */
const char *lw_mesh_control_name(size_t kind)
{
	static const char *const names[LW_MESH_FRAME_KINDS] = {
		[LW__MESH_FRAME__BODY_STATUS] = "status",
		[LW__MESH_FRAME__BODY_CONFIG] = "config",
		[LW__MESH_FRAME__BODY_SERVERS] = "servers",
		[LW__MESH_FRAME__BODY_QUERY] = "query",
		[LW__MESH_FRAME__BODY_FATES] = "fates",
		[LW__MESH_FRAME__BODY_FETCH] = "fetch",
		[LW__MESH_FRAME__BODY_PIECE] = "piece",
		[LW__MESH_FRAME__BODY_SUSPECTS] = "suspects",
		[LW__MESH_FRAME__BODY_QUOTA_REPORT] = "quota_report",
		[LW__MESH_FRAME__BODY_QUOTA_TERMS] = "quota_terms",
	};

	return kind < LW_MESH_FRAME_KINDS ? names[kind] : NULL;
}

/*
 * lw_mesh_control_bytes() - returns the bytes queued for other nodes apart from requests
 * and responses.
 */
uint64_t lw_mesh_control_bytes(const lw_mesh_stats_t *s)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < LW_MESH_FRAME_KINDS; i++)
		if (lw_mesh_control_name(i))
			sum += s->bytes_of[i];
	return sum;
}

/* lw_mesh_stats() - returns the counters since the start. */
const lw_mesh_stats_t *lw_mesh_stats(const lw_mesh_t *m)
{
	return &m->stats;
}

/* lw_mesh_count_links() - counts the open connections that this node opened and accepted. */
void lw_mesh_count_links(const lw_mesh_t *m, uint32_t *outgoing, uint32_t *incoming)
{
	*outgoing = 0;
	*incoming = 0;
	for (const lw_link_t *l = m->links; l; l = l->next)
		++*(l->outgoing ? outgoing : incoming);
}

/*
 * Marks a connection as silent: no data arrives although responses are due. The peer may be
 * suspended, or a device between the hosts has lost track of the connection. New requests
 * use another connection, over which the outcomes of those in flight are queried.
 */
static void mark_silent(lw_link_t *l)
{
	l->silent = true;
	l->mesh->stats.links_silent++;
	lw_log(LW_LOG_link_silent, "node=%s link=%016llx streams=%u unwritten=%llu quiet_ms=%llu",
	       l->node, (unsigned long long)l->name, HASH_COUNT(l->streams),
	       (unsigned long long)(l->queued_total - l->written_total),
	       (unsigned long long)((l->mesh->evloop->now_us - l->last_recv_us) / 1000));
	l->mesh->ops->node_lost(l->mesh->ctx, l->node, true);
	lw_mesh_reset_queries(l);
	if (l->streams)
		lw_mesh_query_link(l);
}

static void check_link(lw_link_t *l, uint64_t now)
{
	uint64_t quiet = now - l->last_recv_us;

	if (l->connecting || !lw_link_handshake_done(l)) {
		if (now - l->opened_us > HANDSHAKE_TIMEOUT_US)
			lw_link_lost(l);
		return;
	}
	if (!l->outgoing)
		return;
	if (l->silent) {
		if (!l->streams)
			lw_link_lost(l);
		return;
	}
	if (!l->streams && !l->open_queries && now - l->used_us > IDLE_CLOSE_US) {
		lw_link_retire(l);
		return;
	}
	if (l->status_request_us) {
		if (now - l->status_request_us > SILENT_LOST_US)
			mark_silent(l);
		return;
	}
	if (quiet > (l->streams || l->open_queries ? SILENT_PROBE_US : IDLE_PROBE_US)) {
		l->status_request_us = now;
		lw_mesh_send_status(l, false);
	}
}

/* more frequent checks while requests are in flight */
static void on_watch(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_mesh_t *m = w->data;
	bool active = m->orphans != NULL;
	lw_link_t *next;

	(void)revents;
	for (lw_link_t *l = m->links; l; l = next) {
		next = l->next;
		if (!l->outgoing || !(l->streams || l->open_queries))
			continue;
		active = true;
		check_link(l, m->evloop->now_us);
	}
	lw_mesh_check_orphans(m);
	if (!active)
		ev_timer_stop(loop, w);
}

static void on_tick(void *ctx)
{
	lw_mesh_t *m = ctx;
	uint64_t now = m->evloop->now_us;
	uint64_t version = m->ops->config_version(m->ctx);
	lw_link_t *next;

	if (version != m->config_seen) {
		m->config_seen = version;
		m->config_us = now;
	}
	for (lw_link_t *l = m->links; l; l = next) {
		next = l->next;
		lw_mesh_push_config(l, version, now);
		check_link(l, now);
	}
	lw_mesh_fetch_any(m);
	if (m->accepting)
		ev_io_start(m->evloop->loop, &m->accept_io);
}

/* after a suspend of this host: the data in the buffers is older by the length of the suspend */
static void adjust_for_suspension(lw_mesh_t *m)
{
	for (lw_link_t *l = m->links; l; l = l->next) {
		l->late_us += m->evloop->suspended_us;
		l->last_recv_us = m->evloop->now_us;
		l->status_request_us = 0;
	}
	/*
	 * no query could be processed meanwhile: ending the requests now would lose work
	 * although a query may be in the buffer
	 */
	for (lw_link_t *l = m->orphans; l; l = l->next)
		l->orphan_us += m->evloop->suspended_us;
}

static void on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	lw_mesh_t *m = w->data;

	(void)loop;
	(void)revents;
	if (m->evloop->suspended_us)
		adjust_for_suspension(m);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_mesh_t *m = w->data;
	int fd;

	(void)revents;
	while ((fd = lw_sock_accept(m->listen_fd)) >= 0) {
		lw_link_t *l = lw_link_new(m, fd, false);

		lw_sock_peer(fd, l->node, sizeof(l->node));
		lw_mesh_send_status(l, false);
	}
	if (lw_sock_accept_exhausted())
		ev_io_stop(loop, &m->accept_io);
}

/* lw_mesh_listen() - accepts connections of other nodes at "ip:port". */
lw_status_t lw_mesh_listen(lw_mesh_t *m, const char *addr)
{
	lw_status_t st = lw_sock_listen(addr, &m->listen_fd);

	if (st)
		return st;
	lw_sock_nonblock(m->listen_fd);
	ev_io_init(&m->accept_io, on_accept, m->listen_fd, EV_READ);
	m->accept_io.data = m;
	ev_io_start(m->evloop->loop, &m->accept_io);
	m->accepting = true;
	return LW_OK;
}

/* lw_mesh_new() - creates the mesh without connections; requests of other nodes go to @gate. */
lw_mesh_t *lw_mesh_new(lw_evloop_t *evloop, lw_gate_t *gate, const lw_mesh_ops_t *ops, void *ctx)
{
	static ev_check wake;
	lw_mesh_t *m = xcalloc(1, sizeof(*m));

	m->evloop = evloop;
	m->gate = gate;
	m->liveness.server = lw_name_none;
	m->ops = ops;
	m->ctx = ctx;
	m->incarnation = (uint64_t)lw_evloop_random(evloop, UINT32_MAX) << 32 | 1 |
			 lw_evloop_random(evloop, UINT32_MAX);
	ev_timer_init(&m->watch_timer, on_watch, 0, WATCH_INTERVAL_S);
	m->watch_timer.data = m;
	ev_check_init(&wake, on_check);
	wake.data = m;
	ev_check_start(evloop->loop, &wake);
	lw_evloop_on_flush(evloop, lw_mesh_flush_all, m);
	lw_evloop_on_tick(evloop, on_tick, m);
	return m;
}
