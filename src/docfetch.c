/* Transfer of documents in chunks; see docfetch.h. */
#include "docfetch.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

static void discard_pieces(lw_docfetch_t *f)
{
	free(f->got.bytes);
	memset(&f->got, 0, sizeof(f->got));
	f->expected = 0;
}

static void end_fetch(lw_docfetch_t *f)
{
	discard_pieces(f);
	f->source = NULL;
}

/*
 * lw_docfetch_can_start() - returns true if no transfer is active or its source does not
 * answer.
 */
bool lw_docfetch_can_start(const lw_docfetch_t *f, uint64_t now_us)
{
	return !f->source || now_us - f->request_us > LW_DOCFETCH_TIMEOUT_US;
}

/*
 * lw_docfetch_start() - starts to fetch what @source has newer than @d; the caller sends
 * @request to it. An active transfer is abandoned.
 */
void lw_docfetch_start(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d, uint64_t now_us,
		       lw_docfetch_request_t *request)
{
	if (f->source)
		f->failed = f->source;
	discard_pieces(f);
	f->source = source;
	f->request_us = now_us;
	*request = (lw_docfetch_request_t){ .base = f->without_base ? 0 : lw_revdoc_hash(d) };
}

/* returns true if the chunk continues the received data; a first chunk always does */
static bool piece_fits(const lw_docfetch_t *f, const lw_docfetch_chunk_t *p)
{
	if (!p->bytes.len || p->of.len > LW_REVDOC_MAX_BYTES ||
	    p->bytes.len > p->of.len - p->offset)
		return false;
	if (!p->offset)
		return true;
	return p->of.version == f->got.version && p->of.base == f->got.base &&
	       p->of.len == f->expected && p->offset == f->got.len;
}

static void append_piece(lw_docfetch_t *f, const lw_docfetch_chunk_t *p)
{
	if (!p->offset) {
		discard_pieces(f);
		f->got = p->of;
		f->got.len = 0;
		f->got.bytes = NULL;
		f->expected = p->of.len;
	}
	f->got.bytes = xrealloc(f->got.bytes, p->offset + p->bytes.len);
	memcpy(f->got.bytes + p->offset, p->bytes.ptr, p->bytes.len);
	f->got.len = p->offset + p->bytes.len;
}

/*
 * lw_docfetch_receive() - processes a chunk from @source. On LW_DOCFETCH_MORE the caller
 * sends @request. On LW_DOCFETCH_DONE @out is the document, which the caller frees, and
 * piece->of has its version and length.
 */
lw_docfetch_result_t lw_docfetch_receive(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d,
					 const lw_docfetch_chunk_t *piece, uint64_t now_us,
					 lw_docfetch_request_t *request, char **out)
{
	lw_status_t st;

	if (source != f->source || piece->offset > piece->of.len || !piece_fits(f, piece))
		return LW_DOCFETCH_IGNORED;
	append_piece(f, piece);
	f->request_us = now_us;
	if (f->got.len < f->expected) {
		*request = (lw_docfetch_request_t){ f->got.version, f->got.base, f->got.len };
		return LW_DOCFETCH_MORE;
	}
	st = lw_revdoc_decode(d, &f->got, out);
	f->without_base = st != LW_OK;
	end_fetch(f);
	return st ? LW_DOCFETCH_CORRUPT : LW_DOCFETCH_DONE;
}

/* lw_docfetch_source_lost() - no more chunks will come from @source. */
void lw_docfetch_source_lost(lw_docfetch_t *f, const void *source)
{
	if (f->failed == source)
		f->failed = NULL;
	if (f->source == source)
		end_fetch(f);
}

/*
 * lw_docfetch_chunk() - returns in @out the chunk of @d that another node requests; it
 * points into @d. If the requested version is no longer the newest, the transfer restarts
 * with the newest. Returns false if there is no document.
 */
bool lw_docfetch_chunk(lw_revdoc_t *d, const lw_docfetch_request_t *request,
		       lw_docfetch_chunk_t *out)
{
	const lw_revdoc_encoded_t *e = lw_revdoc_encode(d, request->base);
	size_t left;

	if (!e || !e->len)
		return false;
	out->of = *e;
	out->offset =
		request->version == e->version && request->offset < e->len ? request->offset : 0;
	left = e->len - out->offset;
	out->bytes.ptr = e->bytes + out->offset;
	out->bytes.len = left < LW_DOCFETCH_PIECE ? left : LW_DOCFETCH_PIECE;
	return true;
}
