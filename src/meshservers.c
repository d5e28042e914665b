/* The list of backend servers in frames and documents between lwproxy processes; see meshframe.h. */
#include "meshframe.h"

#include <stdlib.h>

#include "xalloc.h"

static void read_withdrawn(const Lw__Servers *in, lw_serverlist_t *sl)
{
	sl->withdrawn = xcalloc(in->n_withdrawn + 1, sizeof(*sl->withdrawn));
	for (size_t i = 0; i < in->n_withdrawn && i < LW_WITHDRAWN_MAX; i++) {
		const Lw__WithdrawnEntry *w = in->withdrawn[i];

		sl->withdrawn[sl->nwithdrawn++] =
			(lw_withdrawn_t){ .id = lw_name_c(w->id), .born_ms = w->born_ms };
	}
}

/*
 * lw_meshframe_read_servers() - decodes the list of backend servers in a frame; the caller
 * owns it.
 */
lw_serverlist_t *lw_meshframe_read_servers(const Lw__Servers *in)
{
	lw_serverlist_t *sl = xcalloc(1, sizeof(*sl));

	sl->revision = in->revision;
	sl->servers = xcalloc(in->n_servers + 1, sizeof(*sl->servers));
	for (size_t i = 0; i < in->n_servers; i++) {
		const Lw__ServerEntry *w = in->servers[i];
		lw_server_entry_t *e = &sl->servers[sl->nservers++];

		e->id = lw_name_c(w->id);
		e->service = lw_name_c(w->service);
		lw_str_copy(e->addr, sizeof(e->addr), lw_str_c(w->address));
		e->zone = lw_name_c(w->zone);
		e->slots = w->slots;
		e->draining = w->draining;
		e->born_ms = w->born_ms;
		e->proven = w->proven;
	}
	read_withdrawn(in, sl);
	return sl;
}

/* storage for a list of backend servers while it is encoded */
typedef struct lw_servers_wire {
	Lw__Servers servers;
	Lw__ServerEntry *entry;
	Lw__ServerEntry **list;
	Lw__WithdrawnEntry *withdrawn;
	Lw__WithdrawnEntry **withdrawn_list;
} lw_servers_wire_t;

static void fill_withdrawn(lw_servers_wire_t *w, const lw_serverlist_t *sl)
{
	w->withdrawn = xcalloc(sl->nwithdrawn + 1, sizeof(*w->withdrawn));
	w->withdrawn_list = xcalloc(sl->nwithdrawn + 1, sizeof(void *));
	for (size_t i = 0; i < sl->nwithdrawn; i++) {
		lw__withdrawn_entry__init(&w->withdrawn[i]);
		w->withdrawn[i].id = lw_meshframe_text(sl->withdrawn[i].id);
		w->withdrawn[i].born_ms = sl->withdrawn[i].born_ms;
		w->withdrawn_list[i] = &w->withdrawn[i];
	}
	w->servers.n_withdrawn = sl->nwithdrawn;
	w->servers.withdrawn = w->withdrawn_list;
}

static void fill_servers(lw_servers_wire_t *w, const lw_serverlist_t *sl)
{
	lw__servers__init(&w->servers);
	w->entry = xcalloc(sl->nservers + 1, sizeof(*w->entry));
	w->list = xcalloc(sl->nservers + 1, sizeof(void *));
	for (size_t i = 0; i < sl->nservers; i++) {
		const lw_server_entry_t *e = &sl->servers[i];

		lw__server_entry__init(&w->entry[i]);
		w->entry[i].id = lw_meshframe_text(e->id);
		w->entry[i].service = lw_meshframe_text(e->service);
		w->entry[i].address = lw_meshframe_text(e->addr);
		w->entry[i].zone = lw_meshframe_text(e->zone);
		w->entry[i].slots = e->slots;
		w->entry[i].draining = e->draining;
		w->entry[i].born_ms = e->born_ms;
		w->entry[i].proven = e->proven;
		w->list[i] = &w->entry[i];
	}
	w->servers.n_servers = sl->nservers;
	w->servers.servers = w->list;
	fill_withdrawn(w, sl);
}

static void free_servers(lw_servers_wire_t *w)
{
	free(w->list);
	free(w->entry);
	free(w->withdrawn_list);
	free(w->withdrawn);
}

/* lw_meshframe_append_servers() - encodes a list of backend servers as a frame. */
void lw_meshframe_append_servers(lw_bytebuf_t *out, const lw_serverlist_t *sl)
{
	lw_servers_wire_t w;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	fill_servers(&w, sl);
	w.servers.revision = sl->revision;
	f.body_case = LW__MESH_FRAME__BODY_SERVERS;
	f.servers = &w.servers;
	lw_meshframe_append(out, &f);
	free_servers(&w);
}

/*
 * lw_meshframe_pack_servers() - encodes a list of backend servers as a document. The
 * revision is left out, so that lists with the same servers are the same document.
 */
void lw_meshframe_pack_servers(lw_bytebuf_t *out, const lw_serverlist_t *sl)
{
	lw_servers_wire_t w;
	size_t len;

	fill_servers(&w, sl);
	len = lw__servers__get_packed_size(&w.servers);
	lw__servers__pack(&w.servers, (uint8_t *)lw_bytebuf_reserve(out, len + 1));
	lw_bytebuf_commit(out, len);
	free_servers(&w);
}

/*
 * lw_meshframe_unpack_servers() - decodes the list of backend servers in a document;
 * LW_ERR_PROTO if it is invalid.
 */
lw_status_t lw_meshframe_unpack_servers(lw_str_t bytes, uint64_t revision, lw_serverlist_t **out)
{
	Lw__Servers *w = lw__servers__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);

	if (!w)
		return lw_error(
			LW_ERR_PROTO,
			"document does not decode as a list of backend servers; ignoring it");
	*out = lw_meshframe_read_servers(w);
	(*out)->revision = revision;
	lw__servers__free_unpacked(w, NULL);
	return LW_OK;
}
