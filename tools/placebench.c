/* Measures the time of a choice of a server by the number of hosts of its service. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "place.h"
#include "xalloc.h"

#define MESH_PORT 7000
#define CHOICES	  2000000
#define SLOTS	  20

static double now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static lw_serverlist_t make_list(size_t n)
{
	lw_serverlist_t sl = { .servers = xcalloc(n, sizeof(lw_server_entry_t)), .nservers = n };

	for (size_t i = 0; i < n; i++) {
		lw_server_entry_t *e = &sl.servers[i];

		snprintf(e->id, LW_NAME_MAX, "i-%010zu", i);
		snprintf(e->addr, LW_NAME_MAX, "10.%zu.0.%zu:8080", 1 + i % 3, i);
		snprintf(e->zone, LW_NAME_MAX, "zone-%zu", i % 3);
		snprintf(e->service, LW_NAME_MAX, "lookup");
		e->slots = SLOTS;
	}
	return sl;
}

/* all hosts report their load; @failing: outcomes of some requests were failures */
static void report_loads(lw_place_t *p, const lw_serverlist_t *sl, bool failing)
{
	char node[LW_NAME_MAX];

	for (size_t i = 0; i < sl->nservers; i++) {
		lw_load_t load = { .running = (uint32_t)(5 + i * 7 % 13),
				   .limit = SLOTS,
				   .service_us = (uint32_t)(20000 + i % 5 * 10000) };

		lw_place_node_addr(node, sizeof(node), sl->servers[i].addr, MESH_PORT);
		lw_place_node_load_reported(p, node, &load, 1000000);
	}
	for (lw_place_host_t *h = p->services->hosts; failing && h; h = h->next) {
		lw_place_request_sent(h);
		lw_place_request_done(h, false, 500000);
	}
}

static void measure(size_t n, bool failing)
{
	lw_serverlist_t sl = make_list(n);
	lw_place_tried_t none = { .n = 0 };
	lw_place_service_t *s;
	size_t found = 0;
	lw_place_t p;
	double at;

	lw_place_init(&p, "zone-0", "10.9.0.1:8080", MESH_PORT,
		      (lw_retryallowance_t){ 0.2, 1000, 10 });
	lw_place_update(&p, &sl, 1000, 0);
	report_loads(&p, &sl, failing);
	s = lw_place_service(&p, "lookup");
	at = now_ns();
	for (uint32_t i = 0; i < CHOICES; i++) {
		lw_place_query_t ask = { .now_us = 1100000, .random = i * 2654435761u };

		found += lw_place_pick(s, &none, &ask) != NULL;
	}
	printf("%3zu hosts%s: %.0f ns a choice, %zu found\n", n, failing ? ", failures" : "",
	       (now_ns() - at) / CHOICES, found);
	lw_place_free(&p);
	free(sl.servers);
}

int main(void)
{
	static const size_t sizes[] = { 3, 12, 25, 40 };

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		measure(sizes[i], false);
		measure(sizes[i], true);
	}
	return 0;
}
