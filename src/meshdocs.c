/*
 * Transfer of documents between nodes. A node that learns of a newer version fetches it in
 * chunks from one node at a time, so that each node receives a document once and sends only
 * what others request.
 */
#include "mesh_int.h"

#include <stdlib.h>

#include "log.h"

/* the version of a document that the peer has, as far as known */
static uint64_t peer_version_of(const lw_link_t *l, Lw__DocumentKind kind)
{
	return kind == LW__DOCUMENT_KIND__DOCUMENT_CONFIG ? l->peer_version : l->peer_revision;
}

static uint64_t own_version_of(const lw_mesh_t *m, Lw__DocumentKind kind)
{
	return lw_revdoc_version(m->ops->document(m->ctx, kind));
}

static void send_fetch(lw_link_t *l, Lw__DocumentKind kind, const lw_docfetch_request_t *request)
{
	size_t before = lw_bytebuf_len(&l->out);

	lw_meshframe_append_fetch(&l->out, kind, request);
	lw_link_frame_queued(l, before, LW__MESH_FRAME__BODY_FETCH);
}

static void start_fetch(lw_link_t *l, Lw__DocumentKind kind)
{
	lw_mesh_t *m = l->mesh;
	lw_docfetch_request_t request;

	lw_docfetch_start(&m->fetch[kind], l, m->ops->document(m->ctx, kind), m->evloop->now_us,
			  &request);
	send_fetch(l, kind, &request);
}

static bool has_newer(const lw_link_t *l, Lw__DocumentKind kind)
{
	return !l->closed && !l->silent && l->peer_fetches && lw_link_handshake_done(l) &&
	       peer_version_of(l, kind) > own_version_of(l->mesh, kind) &&
	       peer_version_of(l, kind) > l->mesh->fetch[kind].rejected_version;
}

/*
 * lw_mesh_fetch_from() - fetches the documents that the peer has in a newer version, unless
 * a transfer is active.
 */
void lw_mesh_fetch_from(lw_link_t *l)
{
	lw_mesh_t *m = l->mesh;

	for (int kind = 0; kind < LW_MESH_DOCUMENTS; kind++)
		if (has_newer(l, kind) && lw_docfetch_can_start(&m->fetch[kind], m->evloop->now_us))
			start_fetch(l, kind);
}

/*
 * lw_mesh_fetch_any() - fetches newer documents from any node, if possible not from the
 * previous source. Needed if the nodes that notify this one have no newer version
 * themselves, or if their notification was lost.
 */
void lw_mesh_fetch_any(lw_mesh_t *m)
{
	for (int kind = 0; kind < LW_MESH_DOCUMENTS; kind++) {
		lw_link_t *best = NULL;

		if (!lw_docfetch_can_start(&m->fetch[kind], m->evloop->now_us))
			continue;
		for (lw_link_t *l = m->links; l; l = l->next)
			if (has_newer(l, kind) && (!best || best == m->fetch[kind].source ||
						   best == m->fetch[kind].failed))
				best = l;
		if (best)
			start_fetch(best, kind);
	}
}

/* lw_mesh_source_lost() - aborts the transfers from a closed connection. */
void lw_mesh_source_lost(lw_link_t *l)
{
	for (int kind = 0; kind < LW_MESH_DOCUMENTS; kind++)
		lw_docfetch_source_lost(&l->mesh->fetch[kind], l);
}

static bool known_kind(Lw__DocumentKind kind)
{
	return (int)kind >= 0 && (int)kind < LW_MESH_DOCUMENTS;
}

/* lw_mesh_on_fetch() - a peer requests a chunk of a document. */
void lw_mesh_on_fetch(lw_link_t *l, const Lw__Fetch *w)
{
	lw_mesh_t *m = l->mesh;
	lw_docfetch_request_t request = lw_meshframe_read_fetch(w);
	size_t before = lw_bytebuf_len(&l->out);
	lw_docfetch_chunk_t piece;

	if (!known_kind(w->kind) || before > LW_LINK_UNWRITTEN_MAX ||
	    !lw_docfetch_chunk(m->ops->document(m->ctx, w->kind), &request, &piece))
		return;
	lw_meshframe_append_piece(&l->out, w->kind, &piece);
	lw_link_frame_queued(l, before, LW__MESH_FRAME__BODY_PIECE);
}

/* processes a completely received document */
static void apply_document(lw_mesh_t *m, Lw__DocumentKind kind, uint64_t version, lw_str_t bytes)
{
	lw_serverlist_t *sl;

	if (kind == LW__DOCUMENT_KIND__DOCUMENT_CONFIG)
		m->ops->config_received(m->ctx, bytes);
	else if (lw_meshframe_unpack_servers(bytes, version, &sl))
		lw_log(LW_LOG_document_spoiled, "why=\"%s\"", lw_error_last());
	else
		m->ops->servers_received(m->ctx, sl);
}

/* lw_mesh_on_piece() - a chunk of a document arrived. */
void lw_mesh_on_piece(lw_link_t *l, const Lw__Piece *w)
{
	lw_mesh_t *m = l->mesh;
	lw_docfetch_chunk_t piece = lw_meshframe_read_piece(w);
	lw_docfetch_request_t request;
	char *bytes;

	if (!known_kind(w->kind))
		return;
	switch (lw_docfetch_receive(&m->fetch[w->kind], l, m->ops->document(m->ctx, w->kind),
				    &piece, m->evloop->now_us, &request, &bytes)) {
	case LW_DOCFETCH_MORE:
		send_fetch(l, w->kind, &request);
		break;
	case LW_DOCFETCH_DONE:
		apply_document(m, w->kind, piece.of.version, (lw_str_t){ bytes, piece.of.length });
		free(bytes);
		/*
		 * not fetched again: this node cannot parse the document, which a newer
		 * software version may accept
		 */
		if (own_version_of(m, w->kind) < piece.of.version)
			m->fetch[w->kind].rejected_version = piece.of.version;
		lw_mesh_apply_store_read(l);
		break;
	case LW_DOCFETCH_CORRUPT:
		lw_log(LW_LOG_document_spoiled, "node=%s why=\"%s\"", l->node, lw_error_last());
		lw_mesh_fetch_from(l);
		break;
	case LW_DOCFETCH_IGNORED:
		break;
	}
}
