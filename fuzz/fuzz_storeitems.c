/*
 * libFuzzer target: items of the configuration store are read, the list of backend servers is
 * made, sent to another node and applied by its placement. The input is a list of documents, each
 * ended by a byte 0xff; the first byte of a document says whose entry it is and how it is read.
 */
#include <jansson.h>
#include <ne_string.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/storeitems.h"
#include "../src/bytebuf.h"
#include "../src/log.h"
#include "../src/meshframe.h"
#include "../src/place.h"
#include "../src/storepos.h"
#include "../src/xalloc.h"

#define STEP_US	      700000
#define HEARTBEAT_S   1.5
#define END	      0xff
#define KEYS	      4
#define FLAG_REMOVED  0x10 /* the entry is removed */
#define FLAG_RESTORED 0x20 /* the store has been restored from a copy */

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* no line for each rejected entry */
int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	lw_log_init("fuzz", LOG_CRIT);
	return 0;
}

typedef struct run {
	lw_storeitems_t items;
	lw_storereader_stats_t stats;
	lw_mailbox_t conf;
	lw_place_t place;
	uint64_t revision;
	uint64_t now_us;
} run_t;

static void release_config(void *fc)
{
	lw_fleetconf_free(fc);
}

static void read_item(run_t *r, uint8_t flags, const uint8_t *text, size_t len)
{
	static const char *const keys[KEYS] = { "servers/i-1", "servers/i-2", "servers/i-3",
						"op/config" };
	char *value = ne_base64(text, len);
	json_t *item = json_pack("{s:s,s:I,s:I}", "key", keys[flags % KEYS], "revision",
				 (json_int_t)r->revision, "created_rev", (json_int_t)1);

	if (flags & FLAG_REMOVED)
		json_object_set_new(item, "tombstone", json_true());
	else
		json_object_set_new(item, "value", json_string(value));
	if (flags & FLAG_RESTORED)
		lw_serverset_begin_restore(r->items.servers);
	lw_storeitems_read(&r->items, item);
	if (flags & FLAG_RESTORED)
		lw_serverset_end_restore(r->items.servers, r->now_us,
					 lw_storeitems_position(&r->items, r->revision));
	json_decref(item);
	free(value);
}

/* the list as another node decodes it */
static lw_serverlist_t *sent(const lw_serverlist_t *sl)
{
	lw_bytebuf_t bytes = { 0 };
	Lw__Servers *m;
	lw_serverlist_t *out;

	lw_meshframe_pack_servers(&bytes, sl);
	m = lw__servers__unpack(NULL, lw_bytebuf_len(&bytes),
				(const uint8_t *)lw_bytebuf_head(&bytes));
	if (!m)
		abort();
	out = lw_meshframe_read_servers(m);
	lw__servers__free_unpacked(m, NULL);
	lw_bytebuf_free(&bytes);
	return out;
}

/* a listed server has an address that can be used, and one that drains gets no work */
static void check_list(const run_t *r, const lw_serverlist_t *sl)
{
	for (size_t i = 0; i < sl->nservers; i++)
		if (!strchr(sl->servers[i].addr, ':') || !sl->servers[i].service[0])
			abort();
	for (const lw_place_service_t *s = r->place.services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->list_draining && !h->draining)
				abort();
}

static void apply_list(run_t *r)
{
	lw_serverlist_t *sl = lw_serverset_take_changes(r->items.servers, r->now_us);
	lw_serverlist_t *received;

	lw_fleetconf_free(lw_mailbox_take(&r->conf));
	if (!sl)
		return;
	received = sent(sl);
	lw_place_update(&r->place, received, r->now_us, r->now_us);
	lw_place_end_doubts(&r->place, r->now_us);
	check_list(r, received);
	lw_serverlist_free(received);
	lw_serverlist_free(sl);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	run_t r = { .now_us = 1000000, .conf = { .release = release_config } };

	lw_storeitems_init(&r.items, lw_expiry(HEARTBEAT_S));
	r.items.stats = &r.stats;
	r.items.conf = &r.conf;
	r.items.era = 1;
	lw_place_init(&r.place, "a", "10.0.0.9:80", 7000, (lw_retryallowance_t){ 0 });
	while (len) {
		const uint8_t *end = memchr(data, END, len);
		size_t n = end ? (size_t)(end - data) : len;

		r.revision++;
		r.now_us += STEP_US;
		if (n)
			read_item(&r, data[0], data + 1, n - 1);
		apply_list(&r);
		data += end ? n + 1 : n;
		len -= end ? n + 1 : n;
	}
	lw_serverset_free(r.items.servers);
	lw_place_free(&r.place);
	return 0;
}
