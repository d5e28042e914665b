/*
 * State that nodes exchange besides requests: load, the configuration, the list of backend
 * servers, and the age of the last known read of the store.
 */
#include "mesh_int.h"
#include "storepos.h"

/* time that a peer has to get a new configuration by itself, us */
#define CONFIG_PUSH_DELAY_US 600000
/* the reply of a node that has sent nothing for this long is not awaited, us */
#define SENDER_QUIET_MAX_US 1000000
/* minimum interval between frames with admission levels on one connection, us */
#define LEVELS_INTERVAL_US 20000

/*
 * lw_mesh_fill_load() - fills the load part of a frame; @out must stay valid until the
 * frame is encoded.
 */
void lw_mesh_fill_load(lw_link_t *l, lw_meshframe_load_t *out, const lw_load_t *load)
{
	lw_mesh_t *m = l->mesh;

	lw_meshframe_load(out, load);
	out->load.config_version = m->ops->config_version(m->ctx);
	if (m->evloop->now_us - l->levels_us < LEVELS_INTERVAL_US)
		return;
	l->levels_us = m->evloop->now_us;
	lw_meshframe_add_levels(out,
				m->ops->known_levels(m->ctx, out->levels, LW_MESHFRAME_LEVELS_MAX));
}

/* lw_mesh_read_levels() - processes the admission levels in the load part of a frame. */
void lw_mesh_read_levels(lw_link_t *l, const Lw__Load *load)
{
	for (size_t i = 0; load && i < load->n_heard; i++) {
		lw_level_report_t level;

		lw_meshframe_read_level(load->heard[i], &level);
		l->mesh->ops->level_received(l->mesh->ctx, &level);
	}
}

static lw_revdoc_t *servers_document(const lw_mesh_t *m)
{
	return m->ops->document(m->ctx, LW__DOCUMENT_KIND__DOCUMENT_SERVERS);
}

static uint64_t own_revision(const lw_mesh_t *m)
{
	return lw_revdoc_version(servers_document(m));
}

static uint32_t age_ms(uint64_t since_us, uint64_t now_us)
{
	uint64_t ms = since_us && now_us > since_us ? (now_us - since_us) / 1000 : 0;

	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static void fill_liveness(const lw_mesh_t *m, Lw__Status *status)
{
	const lw_liveness_t *said = &m->liveness;

	status->lapsed_id = (char *)(uintptr_t)said->server;
	status->lapsed_born_ms = said->born_ms;
	status->lapsed_missing_ms = age_ms(said->missing_us, m->evloop->now_us);
	status->lapsed_read_ms = age_ms(said->read_us, m->evloop->now_us);
}

static void on_liveness(lw_link_t *l, const Lw__Status *w)
{
	uint64_t now_us = l->mesh->evloop->now_us;
	lw_liveness_t said = { .server = w->lapsed_id, .born_ms = w->lapsed_born_ms };

	said.missing_us = now_us - (uint64_t)w->lapsed_missing_ms * 1000;
	said.read_us = now_us - (uint64_t)w->lapsed_read_ms * 1000;
	l->peer_asserts = w->lapsed_id[0];
	l->mesh->ops->server_alive(l->mesh->ctx, l->node, &said);
}

/*
 * sends this node's state; @number: of the status that it replies to; @read_store: the peer is asked
 * to read the store
 */
static void send_state(lw_link_t *l, bool is_reply, uint32_t number, bool read_store)
{
	lw_load_t own;
	lw_meshframe_load_t load;
	Lw__Status status = LW__STATUS__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	lw_gate_load(l->mesh->gate, &own);
	lw_mesh_fill_load(l, &load, &own);
	status.is_reply = is_reply;
	status.number = is_reply ? number : ++l->status_number;
	status.load = &load.load;
	status.news_age_ms = l->mesh->ops->news_age_ms(l->mesh->ctx);
	status.servers_revision = own_revision(l->mesh);
	status.servers_hash = lw_revdoc_hash(servers_document(l->mesh));
	status.fetches = true;
	status.incarnation = l->mesh->incarnation;
	fill_liveness(l->mesh, &status);
	status.link = l->outgoing ? l->name : 0;
	status.read_store = read_store;
	f.body_case = LW__MESH_FRAME__BODY_STATUS;
	f.status = &status;
	lw_link_send(l, &f);
}

/*
 * lw_mesh_send_status() - sends this node's state to the peer; @is_reply: the peer need not
 * reply.
 */
void lw_mesh_send_status(lw_link_t *l, bool is_reply)
{
	send_state(l, is_reply, 0, false);
}

/* sends the configuration to a node of an older version that is not known to have it */
static void send_config(lw_link_t *l, uint64_t version)
{
	lw_mesh_t *m = l->mesh;
	Lw__Config c = LW__CONFIG__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;
	lw_str_t text;

	if (l->peer_fetches || !l->peer_incarnation || l->peer_version >= version ||
	    l->pushed_version >= version)
		return;
	text = lw_revdoc_text(m->ops->document(m->ctx, LW__DOCUMENT_KIND__DOCUMENT_CONFIG));
	if (!text.len)
		return;
	l->pushed_version = version;
	c.version = version;
	c.text = lw_meshframe_bytes(text);
	f.body_case = LW__MESH_FRAME__BODY_CONFIG;
	f.config = &c;
	lw_link_send(l, &f);
}

/* sends the list of backend servers to a peer of an older version that does not have it */
static void push_servers(lw_link_t *l)
{
	const lw_serverlist_t *sl = l->mesh->ops->servers(l->mesh->ctx);
	size_t before = lw_bytebuf_len(&l->out);

	if (!sl || l->closed || l->peer_fetches || !l->peer_incarnation ||
	    l->peer_revision >= sl->revision || l->pushed_revision >= sl->revision)
		return;
	l->pushed_revision = sl->revision;
	lw_meshframe_append_servers(&l->out, sl);
	lw_link_frame_queued(l, before, LW__MESH_FRAME__BODY_SERVERS);
}

/*
 * lw_mesh_apply_store_read() - uses the peer's time of the last store read only if the peer
 * has no newer document than this node; otherwise this node would consider itself up to
 * date while it still fetches. The time is also ignored if the peer has an older store era:
 * what that peer read says nothing about the store now.
 */
void lw_mesh_apply_store_read(lw_link_t *l)
{
	lw_mesh_t *m = l->mesh;

	if (l->peer_revision <= own_revision(m) &&
	    lw_storepos_same_era(l->peer_revision, own_revision(m)) &&
	    l->peer_version <= m->ops->config_version(m->ctx))
		m->ops->store_read(m->ctx, l->node, l->peer_store_read_us);
}

/* processes the store age and document versions in a peer's status */
static void apply_peer_documents(lw_link_t *l, const Lw__Status *w)
{
	lw_mesh_t *m = l->mesh;
	uint64_t age_us = (uint64_t)w->news_age_ms * 1000;
	uint64_t own = own_revision(m);

	l->peer_store_read_us = m->evloop->now_us > age_us ? m->evloop->now_us - age_us : 0;
	if (w->servers_revision > own && own &&
	    w->servers_hash == lw_revdoc_hash(servers_document(m))) {
		m->ops->servers_confirmed(m->ctx, w->servers_revision);
		own = w->servers_revision;
	}
	lw_mesh_fetch_from(l);
	push_servers(l);
	/*
	 * this status makes a peer with an older server list fetch the newer one, and a peer
	 * of an older software version send its newer list
	 */
	if (w->is_reply &&
	    (w->servers_revision < own || (!w->fetches && w->servers_revision > own)))
		lw_mesh_send_status(l, true);
	lw_mesh_apply_store_read(l);
}

static void on_reply(lw_link_t *l, uint32_t number)
{
	l->peer_numbers |= number != 0;
	if (number == l->exit_number)
		l->exit_number = 0;
}

/* lw_mesh_on_status() - the peer sent its state. */
void lw_mesh_on_status(lw_link_t *l, const Lw__Status *w)
{
	lw_load_t load;
	bool greeted, first;

	lw_meshframe_read_load(w->load, &load);
	lw_mesh_read_levels(l, w->load);
	if (w->load)
		l->peer_version = w->load->config_version;
	if (l->outgoing && (w->lapsed_id[0] || l->peer_asserts))
		on_liveness(l, w);
	if (l->outgoing && w->load)
		l->mesh->ops->load(l->mesh->ctx, l->node, &load);
	l->peer_revision = w->servers_revision;
	l->peer_fetches = w->fetches;
	greeted = lw_link_handshake_done(l);
	first = !l->peer_incarnation;
	l->peer_incarnation = w->incarnation;
	if (first)
		lw_mesh_send_known_suspects(l);
	if (!greeted && !load.limit)
		lw_link_drop_unsent(l);
	if (!l->outgoing && w->link) {
		l->name = w->link;
		l->rejects_requests = lw_meshclosed_has(&l->mesh->closed_links, w->link);
	}
	apply_peer_documents(l, w);
	l->mesh->ops->status_received(l->mesh->ctx, l->node, w->read_store);
	if (w->is_reply)
		on_reply(l, w->number);
	else if (lw_bytebuf_len(&l->out) <= LW_LINK_UNWRITTEN_MAX)
		send_state(l, true, w->number, false);
}

/*
 * lw_mesh_assert_liveness() - from now on every status asserts that this server is alive although
 * its entry is gone.
 */
void lw_mesh_assert_liveness(lw_mesh_t *m, const lw_liveness_t *said)
{
	m->liveness = *said;
	m->liveness.server = lw_name_c(said->server);
}

/* lw_mesh_end_liveness() - no further status asserts that. */
void lw_mesh_end_liveness(lw_mesh_t *m)
{
	m->liveness = (lw_liveness_t){ .server = lw_name_none };
}

/*
 * lw_mesh_broadcast_status() - sends this node's state at once to the nodes that may send
 * it requests. These use connections that they opened themselves; a status sent over a
 * connection that this node opened tells the other side nothing about the local backend
 * server.
 */
void lw_mesh_broadcast_status(lw_mesh_t *m)
{
	for (lw_link_t *l = m->links; l; l = l->next)
		if (!l->outgoing)
			lw_mesh_send_status(l, true);
}

/*
 * Whether the peer may have requests on their way here. One that has been quiet for longer has
 * none, or has failed: without this a failed host would delay the exit of every other one.
 */
static bool sends_to_us(const lw_link_t *l)
{
	return l->mesh->evloop->now_us - l->last_recv_us < SENDER_QUIET_MAX_US;
}

/*
 * lw_mesh_announce_exit() - tells the nodes that may send requests that this one accepts nothing
 * more. The reply of each follows all requests that it sent before it knew. The replies of those
 * that sent something lately are awaited, see lw_mesh_exit_confirmed().
 */
void lw_mesh_announce_exit(lw_mesh_t *m)
{
	for (lw_link_t *l = m->links; l; l = l->next) {
		if (l->outgoing)
			continue;
		lw_mesh_send_status(l, false);
		l->exit_number = l->peer_numbers && sends_to_us(l) ? l->status_number : 0;
	}
}

/* lw_mesh_exit_confirmed() - whether all nodes that send requests to this one have replied. */
bool lw_mesh_exit_confirmed(const lw_mesh_t *m)
{
	for (const lw_link_t *l = m->links; l; l = l->next)
		if (l->exit_number)
			return false;
	return true;
}

/*
 * lw_mesh_send_state() - sends this node's state to @node, which then fetches the documents
 * that it lacks. A node whose connection is still being set up gets the state with the
 * first frame.
 */
void lw_mesh_send_state(lw_mesh_t *m, const char *node)
{
	lw_link_t *l = lw_link_to(m, node);

	if (!l || !l->peer_incarnation)
		return;
	send_config(l, m->ops->config_version(m->ctx));
	push_servers(l);
	lw_mesh_send_status(l, true);
}

/* lw_link_usable() - returns true if the peer process has sent its status and is not silent. */
bool lw_link_usable(const lw_link_t *l)
{
	return l->peer_incarnation && !l->silent && !l->closed;
}

/*
 * lw_mesh_each_random() - calls @fn for connections to @nodes connected nodes, chosen at
 * random; returns how many there were.
 */
uint32_t lw_mesh_each_random(lw_mesh_t *m, uint32_t nodes, lw_link_fn fn, const void *ctx)
{
	uint32_t left = 0, called = 0;

	for (const lw_link_t *l = m->links; l; l = l->next)
		left += lw_link_usable(l);
	for (lw_link_t *l = m->links; l && called < nodes; l = l->next) {
		if (!lw_link_usable(l))
			continue;
		if (lw_evloop_random(m->evloop, left--) < nodes - called) {
			fn(l, ctx);
			called++;
		}
	}
	return called;
}

static void request_status(lw_link_t *l, const void *ctx)
{
	(void)ctx;
	lw_mesh_send_status(l, false);
}

/*
 * lw_mesh_request_status() - requests the state of @nodes connected nodes, chosen at random;
 * returns how many were asked.
 */
uint32_t lw_mesh_request_status(lw_mesh_t *m, uint32_t nodes)
{
	return lw_mesh_each_random(m, nodes, request_status, NULL);
}

/* lw_mesh_ask_for_state() - requests the state of @node, to which a connection may be opened. */
void lw_mesh_ask_for_state(lw_mesh_t *m, const char *node)
{
	lw_link_t *l = lw_link_to(m, node);

	if (l && l->peer_incarnation)
		lw_mesh_send_status(l, false);
}

static void delegate_reading(lw_link_t *l, const void *ctx)
{
	(void)ctx;
	send_state(l, true, 0, true);
}

/*
 * lw_mesh_delegate_reading() - asks @nodes connected nodes, chosen at random, to read the
 * store.
 */
void lw_mesh_delegate_reading(lw_mesh_t *m, uint32_t nodes)
{
	lw_mesh_each_random(m, nodes, delegate_reading, NULL);
}

/*
 * lw_mesh_push_config() - sends the configuration to a peer that may be unable to read the
 * store.
 */
void lw_mesh_push_config(lw_link_t *l, uint64_t version, uint64_t now)
{
	if (l->peer_version && now - l->mesh->config_us < CONFIG_PUSH_DELAY_US)
		return;
	if (now - l->opened_us >= CONFIG_PUSH_DELAY_US)
		send_config(l, version);
}
