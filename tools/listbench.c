/* Measures what one change of the list of backend servers costs a node, by size of the fleet. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fanout.h"
#include "meshframe.h"
#include "place.h"
#include "revdoc.h"
#include "xalloc.h"

#define MESH_PORT 7000
#define ROUNDS	  8

static double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* servers of four services in five availability zones, more than half of them of the first one */
static lw_serverlist_t make_list(size_t n)
{
	static const char *const services[] = { "lookup", "lookup", "lookup",  "lookup",
						"orders", "orders", "uploads", "billing" };
	lw_serverlist_t sl = { .servers = xcalloc(n, sizeof(lw_server_entry_t)), .nservers = n };

	for (size_t i = 0; i < n; i++) {
		lw_server_entry_t *e = &sl.servers[i];

		snprintf(e->id, LW_NAME_MAX, "i-%010llx", i * 2654435761ULL % 0xffffffffULL);
		snprintf(e->addr, LW_NAME_MAX, "10.%zu.%zu.%zu:8080", 1 + i % 5, i / 250, i % 250);
		snprintf(e->zone, LW_NAME_MAX, "zone-%zu", i % 5);
		snprintf(e->service, LW_NAME_MAX, "%s", services[i % 8]);
		e->slots = 40;
		e->born_ms = 1700000000000ULL + i;
	}
	return sl;
}

static void measure(size_t n)
{
	lw_serverlist_t sl = make_list(n);
	double place_ms = 0, plan_ms = 0, pack_ms = 0;
	lw_fanout_t plan;
	lw_place_t p;
	size_t bytes = 0;

	lw_place_init(&p, sl.servers[0].zone, sl.servers[0].addr, MESH_PORT,
		      (lw_retryallowance_t){ 0.2, 1000, 10 });
	lw_place_update(&p, &sl, 1000000, 0);
	for (int i = 0; i < ROUNDS; i++) {
		lw_bytebuf_t packed = { 0 };
		lw_serverlist_t *read = NULL;
		double at = now_ms();

		sl.servers[i].draining = true;
		lw_place_update(&p, &sl, 2000000, 0);
		place_ms += now_ms() - at;
		at = now_ms();
		lw_fanout_plan(&sl, sl.servers[n / 2].addr, sl.servers[n / 2].zone, &plan);
		plan_ms += now_ms() - at;
		at = now_ms();
		lw_meshframe_pack_servers(&packed, &sl);
		bytes = lw_bytebuf_len(&packed);
		lw_meshframe_unpack_servers((lw_str_t){ lw_bytebuf_head(&packed), bytes }, 7,
					    &read);
		pack_ms += now_ms() - at;
		lw_serverlist_free(read);
		lw_bytebuf_free(&packed);
	}
	printf("%6zu servers: placement %.2f ms, fan-out plan %.2f ms, document %.2f ms, %zu bytes\n",
	       n, place_ms / ROUNDS, plan_ms / ROUNDS, pack_ms / ROUNDS, bytes);
	lw_place_free(&p);
	free(sl.servers);
}

int main(void)
{
	static const size_t sizes[] = { 100, 300, 1000, 2000, 4000 };

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i]);
	return 0;
}
