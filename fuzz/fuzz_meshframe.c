/* libFuzzer target: frames between lwproxy processes, and the readers of their contents. */
#include <stdint.h>
#include <stdlib.h>

#include "meshframe.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Takes a piece as the first one of a transfer, and unpacks it as a whole server list. */
static void take_piece(const Lw__Piece *in)
{
	static lw_revdoc_t doc;
	lw_docfetch_t f = { 0 };
	lw_docfetch_chunk_t piece = lw_meshframe_read_piece(in);
	lw_docfetch_request_t ask;
	lw_serverlist_t *sl;
	char *text;

	if (!lw_revdoc_version(&doc))
		lw_revdoc_put(&doc, 1, LW_STR("a document that differences are against"));
	lw_docfetch_start(&f, &f, &doc, 0, &ask);
	if (lw_docfetch_receive(&f, &f, &doc, &piece, 0, &ask, &text) == LW_DOCFETCH_DONE)
		free(text);
	lw_docfetch_source_lost(&f, &f);
	if (!lw_meshframe_unpack_servers(piece.bytes, 1, &sl))
		lw_serverlist_free(sl);
}

/* Produces the piece of a document that another node requests. */
static void give_piece(const Lw__Fetch *in)
{
	static lw_revdoc_t doc;
	lw_docfetch_request_t ask = lw_meshframe_read_fetch(in);
	lw_docfetch_chunk_t piece;
	lw_bytebuf_t out = { 0 };

	lw_revdoc_put(&doc, 1, LW_STR("a document"));
	if (lw_docfetch_chunk(&doc, &ask, &piece))
		lw_meshframe_append_piece(&out, in->kind, &piece);
	lw_bytebuf_free(&out);
}

static void read_parts(const Lw__MeshFrame *f)
{
	lw_load_t load;

	if (f->body_case == LW__MESH_FRAME__BODY_ANSWER)
		lw_meshframe_read_load(f->answer->load, &load);
	else if (f->body_case == LW__MESH_FRAME__BODY_FAILED)
		lw_meshframe_read_load(f->failed->load, &load);
	else if (f->body_case == LW__MESH_FRAME__BODY_STATUS)
		lw_meshframe_read_load(f->status->load, &load);
	else if (f->body_case == LW__MESH_FRAME__BODY_SERVERS)
		lw_serverlist_free(lw_meshframe_read_servers(f->servers));
	else if (f->body_case == LW__MESH_FRAME__BODY_FETCH)
		give_piece(f->fetch);
	else if (f->body_case == LW__MESH_FRAME__BODY_PIECE)
		take_piece(f->piece);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	size_t at = 0;

	while (at < len) {
		Lw__MeshFrame *f;
		ssize_t used = lw_meshframe_next((const char *)data + at, len - at, &f);

		if (used <= 0)
			break;
		read_parts(f);
		lw_meshframe_free(f);
		at += (size_t)used;
	}
	return 0;
}
