/* Hosts of the placement by id or by node; see placeindex.h. */
#include "placeindex.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

static int by_id(const void *a, const void *b)
{
	return strcmp((*(lw_place_host_t *const *)a)->id, (*(lw_place_host_t *const *)b)->id);
}

static int by_node(const void *a, const void *b)
{
	return strcmp((*(lw_place_host_t *const *)a)->node, (*(lw_place_host_t *const *)b)->node);
}

static lw_place_index_t index_hosts(const lw_place_t *p, bool listed_only,
				    int (*by)(const void *a, const void *b))
{
	lw_place_index_t x = { 0 };
	size_t n = 0;

	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			n++;
	x.host = xcalloc(n + 1, sizeof(lw_place_host_t *));
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->listed || !listed_only)
				x.host[x.n++] = h;
	qsort(x.host, x.n, sizeof(lw_place_host_t *), by);
	return x;
}

/* lw_place_index_by_id() - all hosts by the id of their server. */
lw_place_index_t lw_place_index_by_id(const lw_place_t *p)
{
	return index_hosts(p, false, by_id);
}

/* lw_place_index_listed_by_node() - the listed hosts by the mesh address of their node. */
lw_place_index_t lw_place_index_listed_by_node(const lw_place_t *p)
{
	return index_hosts(p, true, by_node);
}

/* lw_place_index_first() - position in an index by id of the first host with @id, or of the next. */
size_t lw_place_index_first(const lw_place_index_t *x, const char *id)
{
	size_t from = 0, to = x->n;

	while (from < to) {
		size_t middle = from + (to - from) / 2;

		if (strcmp(x->host[middle]->id, id) < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static int compare_node(const void *node, const void *host)
{
	return strcmp(node, (*(lw_place_host_t *const *)host)->node);
}

/* lw_place_index_has_node() - whether an index by node has a host with the node @node. */
bool lw_place_index_has_node(const lw_place_index_t *x, const char *node)
{
	return bsearch(node, x->host, x->n, sizeof(lw_place_host_t *), compare_node) != NULL;
}
