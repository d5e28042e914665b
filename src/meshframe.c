/* Frames between lwproxy processes; see meshframe.h. */
#include "meshframe.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/* a corrupt length must not make a node allocate gigabytes */
#define FRAME_MAX_BYTES (4u * 1024 * 1024)
#define LENGTH_BYTES	4
/* one frame's decoded parts; larger frames fall back to the heap */
#define ARENA_BYTES 98304

/*
 * Decoding allocates each small part of a frame; a bump allocator that is
 * reset for each frame spares a malloc() and free() for each of them.
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

/* lw_meshframe_append() - encode @f at the end of @out. */
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
 * lw_meshframe_next() - decode the frame at the start of @data. Returns the
 * bytes it took, 0 if it is not complete yet, -1 if it is not a frame. Call
 * lw_meshframe_done() before the next one.
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

/* lw_meshframe_done() - release a decoded frame. */
void lw_meshframe_done(Lw__MeshFrame *f)
{
	lw__mesh_frame__free_unpacked(f, &allocator);
}

/* lw_meshframe_bytes() - a length-counted string as protobuf-c has it. */
ProtobufCBinaryData lw_meshframe_bytes(lw_str_t s)
{
	return (ProtobufCBinaryData){ s.len, (uint8_t *)(uintptr_t)s.ptr };
}

/* lw_meshframe_str() - the other way round. */
lw_str_t lw_meshframe_str(ProtobufCBinaryData b)
{
	return (lw_str_t){ (const char *)b.data, b.len };
}

/*
 * lw_meshframe_load() - fill the load part of a frame. It points into @load
 * and @out, which must stay until the frame is encoded.
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

/* lw_meshframe_heard() - add the first @n levels in out->heard to the load part. */
void lw_meshframe_heard(lw_meshframe_load_t *out, uint32_t n)
{
	out->load.n_heard = n;
	out->load.heard = out->heard_list;
	for (uint32_t i = 0; i < n; i++) {
		lw__heard__init(&out->heard_wire[i]);
		out->heard_wire[i].service = out->heard[i].service;
		out->heard_wire[i].level = out->heard[i].level;
		out->heard_wire[i].age_ms = out->heard[i].age_ms;
		out->heard_list[i] = &out->heard_wire[i];
	}
}

/* lw_meshframe_read_heard() - one level that a peer passed on. */
void lw_meshframe_read_heard(const Lw__Heard *in, lw_heard_t *out)
{
	memset(out, 0, sizeof(*out));
	lw_str_copy(out->service, sizeof(out->service), lw_str_c(in->service));
	out->level = in->level;
	out->age_ms = in->age_ms;
}

/* lw_meshframe_read_load() - read it; zeroes if the frame has none. */
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
	for (size_t i = 0; i < in->n_hots; i++) {
		lw_hot_t hot = { .level = in->hots[i]->level, .work_us = in->hots[i]->work_us };

		lw_str_copy(hot.service, sizeof(hot.service), lw_str_c(in->hots[i]->service));
		lw_hots_add(&out->hots, &hot);
	}
}

static char *text(const char *s)
{
	return (char *)(uintptr_t)s;
}

/* lw_meshframe_append_servers() - encode a list of backend servers as a frame. */
void lw_meshframe_append_servers(lw_bytebuf_t *out, const lw_serverlist_t *sl)
{
	Lw__ServerEntry *entry = xcalloc(sl->nservers + 1, sizeof(*entry));
	Lw__ServerEntry **list = xcalloc(sl->nservers + 1, sizeof(void *));
	Lw__Servers servers = LW__SERVERS__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	for (size_t i = 0; i < sl->nservers; i++) {
		const lw_server_entry_t *e = &sl->servers[i];

		lw__server_entry__init(&entry[i]);
		entry[i].id = text(e->id);
		entry[i].service = text(e->service);
		entry[i].address = text(e->addr);
		entry[i].zone = text(e->zone);
		entry[i].slots = e->slots;
		entry[i].draining = e->draining;
		entry[i].born_ms = e->born_ms;
		list[i] = &entry[i];
	}
	servers.revision = sl->revision;
	servers.n_servers = sl->nservers;
	servers.servers = list;
	f.body_case = LW__MESH_FRAME__BODY_SERVERS;
	f.servers = &servers;
	lw_meshframe_append(out, &f);
	free(list);
	free(entry);
}

/* lw_meshframe_read_servers() - the list in a frame; the caller owns it. */
lw_serverlist_t *lw_meshframe_read_servers(const Lw__Servers *in)
{
	lw_serverlist_t *sl = xcalloc(1, sizeof(*sl));

	sl->revision = in->revision;
	sl->servers = xcalloc(in->n_servers + 1, sizeof(*sl->servers));
	for (size_t i = 0; i < in->n_servers; i++) {
		const Lw__ServerEntry *w = in->servers[i];
		lw_server_entry_t *e = &sl->servers[sl->nservers++];

		lw_str_copy(e->id, sizeof(e->id), lw_str_c(w->id));
		lw_str_copy(e->service, sizeof(e->service), lw_str_c(w->service));
		lw_str_copy(e->addr, sizeof(e->addr), lw_str_c(w->address));
		lw_str_copy(e->zone, sizeof(e->zone), lw_str_c(w->zone));
		e->slots = w->slots;
		e->draining = w->draining;
		e->born_ms = w->born_ms;
	}
	return sl;
}
