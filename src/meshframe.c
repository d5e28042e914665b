/* Frames between lwproxy processes; see meshframe.h. */
#include "meshframe.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/* a corrupt length must not make a node allocate gigabytes */
#define FRAME_MAX_BYTES (4u * 1024 * 1024)
#define LENGTH_BYTES	4
/* size of the arena for one decoded frame; larger frames fall back to the heap */
#define ARENA_BYTES 98304

/*
 * Decoding allocates each small part of a frame. A bump allocator that is reset for each
 * frame avoids a malloc() and free() for each part.
 */
static _Alignas(16) char arena[ARENA_BYTES];
static size_t arena_used;

static void *arena_alloc(void *ctx, size_t size)
{
	size_t at = arena_used;

	(void)ctx;
	size = (size + 15) & ~(size_t)15;
	if (size > ARENA_BYTES - at)
		return xmalloc(size);
	arena_used += size;
	return arena + at;
}

static void arena_free(void *ctx, void *ptr)
{
	char *p = ptr;

	(void)ctx;
	if (p < arena || p >= arena + ARENA_BYTES)
		free(ptr);
}

static ProtobufCAllocator allocator = { .alloc = arena_alloc, .free = arena_free };

/* lw_meshframe_append() - encodes @f at the end of @out. */
void lw_meshframe_append(lw_bytebuf_t *out, const Lw__MeshFrame *f)
{
	size_t len = lw__mesh_frame__get_packed_size(f);
	uint8_t *at = (uint8_t *)lw_bytebuf_reserve(out, len + LENGTH_BYTES);

	at[0] = (uint8_t)(len >> 24);
	at[1] = (uint8_t)(len >> 16);
	at[2] = (uint8_t)(len >> 8);
	at[3] = (uint8_t)len;
	lw__mesh_frame__pack(f, at + LENGTH_BYTES);
	lw_bytebuf_commit(out, len + LENGTH_BYTES);
}

/*
 * lw_meshframe_next() - decodes the frame at the start of @data. Returns the number of
 * bytes used, 0 if the frame is incomplete, -1 if it is invalid. Call lw_meshframe_free()
 * before decoding the next frame.
 */
ssize_t lw_meshframe_next(const char *data, size_t len, Lw__MeshFrame **out)
{
	const uint8_t *p = (const uint8_t *)data;
	size_t need;

	if (len < LENGTH_BYTES)
		return 0;
	need = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
	if (need > FRAME_MAX_BYTES)
		return -1;
	if (len < need + LENGTH_BYTES)
		return 0;
	arena_used = 0;
	*out = lw__mesh_frame__unpack(&allocator, need, p + LENGTH_BYTES);
	return *out ? (ssize_t)(need + LENGTH_BYTES) : -1;
}

/* lw_meshframe_free() - releases a decoded frame. */
void lw_meshframe_free(Lw__MeshFrame *f)
{
	lw__mesh_frame__free_unpacked(f, &allocator);
}

/* lw_meshframe_bytes() - converts a length-counted string to protobuf-c's type. */
ProtobufCBinaryData lw_meshframe_bytes(lw_str_t s)
{
	return (ProtobufCBinaryData){ s.len, (uint8_t *)(uintptr_t)s.ptr };
}

/* lw_meshframe_str() - converts protobuf-c's type to a length-counted string. */
lw_str_t lw_meshframe_str(ProtobufCBinaryData b)
{
	return (lw_str_t){ (const char *)b.data, b.len };
}

/*
 * lw_meshframe_notice() - encodes a backend server's self-announcement into @out; NULL if
 * there is none.
 */
Lw__Notice *lw_meshframe_notice(Lw__Notice *out, const lw_notice_t *n)
{
	if (!n->server)
		return NULL;
	lw__notice__init(out);
	out->server = n->server;
	out->born_ms = n->born_ms;
	out->leaving = n->leaving;
	out->limited = n->limited;
	out->limit_per_s = n->limit_per_s;
	out->seen_ms = n->seen_ms;
	return out;
}

/* lw_meshframe_read_notice() - decodes a self-announcement; zeroes if the frame has none. */
lw_notice_t lw_meshframe_read_notice(const Lw__Notice *in)
{
	if (!in)
		return (lw_notice_t){ 0 };
	return (lw_notice_t){
		.server = in->server,
		.born_ms = in->born_ms,
		.leaving = in->leaving,
		/* the comparison is false for NaN, too */
		.limited = in->limited && in->limit_per_s >= 0,
		.limit_per_s = in->limit_per_s >= 0 ? in->limit_per_s : 0,
		.seen_ms = in->seen_ms,
	};
}

static void fill_work(lw_meshframe_load_t *out, const lw_load_t *load)
{
	out->load.machine_percent = load->machine_percent;
	out->load.n_work = load->work.n;
	out->load.work = out->work_list;
	for (uint32_t i = 0; i < load->work.n; i++) {
		lw__work__init(&out->work[i]);
		out->work[i].kind = load->work.at[i].kind;
		out->work[i].us = load->work.at[i].us;
		out->work_list[i] = &out->work[i];
	}
}

/*
 * lw_meshframe_load() - fills the load part of a frame. It points into @load and @out,
 * which must stay valid until the frame is encoded.
 */
void lw_meshframe_load(lw_meshframe_load_t *out, const lw_load_t *load)
{
	lw__load__init(&out->load);
	out->load.running = load->running;
	out->load.queued = load->queued;
	out->load.limit = load->limit;
	out->load.service_us = load->service_us;
	out->load.leaving = load->leaving;
	out->load.down = load->down;
	out->load.level = load->level;
	out->load.failing = load->failing;
	out->load.call_failed = load->call_failed;
	out->load.ran_us = load->ran_us;
	out->load.depth = load->depth;
	out->load.retry_used = load->retry_used;
	out->load.notice = lw_meshframe_notice(&out->notice, &load->notice);
	lw__arrivals__init(&out->arrivals);
	out->arrivals.retries = load->arrivals.retries;
	out->arrivals.requests = load->arrivals.requests[0];
	out->arrivals.requests_half = load->arrivals.requests[1];
	out->arrivals.requests_before = load->arrivals.requests[2];
	out->load.arrivals = &out->arrivals;
	fill_work(out, load);
	out->load.n_hots = load->hots.n;
	out->load.hots = out->list;
	for (uint32_t i = 0; i < load->hots.n; i++) {
		lw__hot__init(&out->hot[i]);
		out->hot[i].service = (char *)(uintptr_t)load->hots.hot[i].service;
		out->hot[i].level = load->hots.hot[i].level;
		out->hot[i].work_us = load->hots.hot[i].work_us;
		out->list[i] = &out->hot[i];
	}
}

/* lw_meshframe_text() - @s for a field: the encoder does not modify it, but fields are not const. */
char *lw_meshframe_text(const char *s)
{
	return (char *)(uintptr_t)s;
}

/* lw_meshframe_add_levels() - adds the first @n levels in out->levels to the load part. */
void lw_meshframe_add_levels(lw_meshframe_load_t *out, uint32_t n)
{
	out->load.n_heard = n;
	out->load.heard = out->levels_list;
	for (uint32_t i = 0; i < n; i++) {
		lw__heard__init(&out->levels_wire[i]);
		out->levels_wire[i].service = lw_meshframe_text(out->levels[i].service);
		out->levels_wire[i].level = out->levels[i].level;
		out->levels_wire[i].age_ms = out->levels[i].age_ms;
		out->levels_list[i] = &out->levels_wire[i];
	}
}

/* lw_meshframe_read_level() - decodes an admission level that a peer forwarded. */
void lw_meshframe_read_level(const Lw__Heard *in, lw_level_report_t *out)
{
	memset(out, 0, sizeof(*out));
	out->service = lw_name_c(in->service);
	out->level = in->level;
	out->age_ms = in->age_ms;
}

static void read_work(const Lw__Load *in, lw_load_t *out)
{
	out->machine_percent = in->machine_percent;
	for (size_t i = 0; i < in->n_work && out->work.n < LW_WORKTIME_KINDS_MAX; i++) {
		/* a time of 0 would make the host look free of cost */
		if (!in->work[i]->us)
			continue;
		out->work.at[out->work.n].kind = in->work[i]->kind;
		out->work.at[out->work.n].us = in->work[i]->us;
		out->work.n++;
	}
}

/* lw_meshframe_read_load() - decodes the load part; zeroes if the frame has none. */
void lw_meshframe_read_load(const Lw__Load *in, lw_load_t *out)
{
	memset(out, 0, sizeof(*out));
	if (!in)
		return;
	out->running = in->running;
	out->queued = in->queued;
	out->limit = in->limit;
	out->service_us = in->service_us;
	out->leaving = in->leaving;
	out->down = in->down;
	out->level = in->level;
	out->failing = in->failing;
	out->call_failed = in->call_failed;
	out->ran_us = in->ran_us;
	out->depth = in->depth;
	out->retry_used = in->retry_used;
	out->notice = lw_meshframe_read_notice(in->notice);
	if (in->arrivals) {
		out->arrivals.retries = in->arrivals->retries;
		out->arrivals.requests[0] = in->arrivals->requests;
		out->arrivals.requests[1] = in->arrivals->requests_half;
		out->arrivals.requests[2] = in->arrivals->requests_before;
	}
	read_work(in, out);
	for (size_t i = 0; i < in->n_hots; i++) {
		lw_service_level_t hot = { .service = lw_name_c(in->hots[i]->service),
					   .level = in->hots[i]->level,
					   .work_us = in->hots[i]->work_us };

		lw_path_levels_add(&out->hots, &hot);
	}
}

/* lw_meshframe_append_fetch() - encodes a request for a chunk of a document. */
void lw_meshframe_append_fetch(lw_bytebuf_t *out, Lw__DocumentKind kind,
			       const lw_docfetch_request_t *request)
{
	Lw__Fetch w = LW__FETCH__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	w.kind = kind;
	w.version = request->version;
	w.against = request->base;
	w.offset = (uint32_t)request->offset;
	f.body_case = LW__MESH_FRAME__BODY_FETCH;
	f.fetch = &w;
	lw_meshframe_append(out, &f);
}

/* lw_meshframe_append_piece() - encodes a chunk of a document. */
void lw_meshframe_append_piece(lw_bytebuf_t *out, Lw__DocumentKind kind,
			       const lw_docfetch_chunk_t *piece)
{
	Lw__Piece w = LW__PIECE__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	w.kind = kind;
	w.version = piece->of.version;
	w.against = piece->of.base;
	w.hash = piece->of.hash;
	w.length = (uint32_t)piece->of.length;
	w.encoded_length = (uint32_t)piece->of.len;
	w.offset = (uint32_t)piece->offset;
	w.data = lw_meshframe_bytes(piece->bytes);
	f.body_case = LW__MESH_FRAME__BODY_PIECE;
	f.piece = &w;
	lw_meshframe_append(out, &f);
}

/* lw_meshframe_read_fetch() - decodes a peer's request for a chunk. */
lw_docfetch_request_t lw_meshframe_read_fetch(const Lw__Fetch *in)
{
	return (lw_docfetch_request_t){ in->version, in->against, in->offset };
}

/* lw_meshframe_read_piece() - decodes a received chunk, which points into the frame. */
lw_docfetch_chunk_t lw_meshframe_read_piece(const Lw__Piece *in)
{
	return (lw_docfetch_chunk_t){
		.of = { .version = in->version,
			.base = in->against,
			.hash = in->hash,
			.length = in->length,
			.len = in->encoded_length },
		.offset = in->offset,
		.bytes = lw_meshframe_str(in->data),
	};
}
