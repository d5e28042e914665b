/* Placement: updates a host from outcomes, load reports and lost connections; see place.h. */
#include <string.h>

#include "placecost.h"

/* weight of a new outcome in the moving average of failures */
#define FAILURE_EWMA 0.1
/* first and longest time for which an unreachable host gets no work, ms */
#define SUSPECT_MIN_MS 300
#define SUSPECT_MAX_MS 1000
/*
 * The store entry of a server that was replaced at its address remains until
 * its lease expires after three missed heartbeats. The host gets no work for
 * this time. In microseconds.
 */
#define REPLACED_US 5000000

/* lw_place_request_sent() - a request is sent to @h; lw_place_request_done() must follow. */
void lw_place_request_sent(lw_place_host_t *h)
{
	h->refs++;
	h->inflight++;
	h->sent++;
}

/*
 * lw_place_request_done() - the request has an outcome; @ok: the server
 * answered without an error.
 */
void lw_place_request_done(lw_place_host_t *h, bool ok, uint64_t now_us)
{
	double failures = lw_placecost_failures(h, now_us);

	h->inflight--;
	h->failures = failures + FAILURE_EWMA * ((ok ? 0.0 : 1.0) - failures);
	h->failures_us = now_us;
	if (ok) {
		h->suspect_until_us = 0;
		h->backoff_ms = 0;
	}
	h->refs--;
}

/*
 * lw_place_mark_replaced() - another server reports the address of @h as its
 * own. After a power failure of all hosts the old entries remain beside those
 * of the restarted servers, and calls sent to them are refused.
 */
void lw_place_mark_replaced(lw_place_host_t *h, uint64_t now_us)
{
	h->replaced_until_us = now_us + REPLACED_US;
}

/*
 * lw_place_load_reported() - the node of @h reported its load. Returns what this changes about
 * whether the server is leaving.
 */
lw_leaving_change_t lw_place_load_reported(lw_place_host_t *h, const lw_load_t *load,
					   uint64_t now_us)
{
	h->load = *load;
	h->load_us = now_us;
	h->sent = 0;
	/* the list may name another process than the one that announced a limit */
	if (!lw_notice_is_about(&load->notice, h->id))
		memset(&h->load.notice, 0, sizeof(h->load.notice));
	return lw_place_notice_reported(h, &load->notice, now_us);
}

static lw_leaving_change_t apply_node_load(lw_place_host_t *h, const lw_load_t *load,
					   uint64_t now_us)
{
	bool was_draining = h->draining;
	lw_leaving_change_t change = lw_place_notice_reported(h, &load->notice, now_us);

	if (!lw_place_usable(h, now_us) || (was_draining && h->draining))
		return change;
	h->suspect_until_us = 0;
	h->backoff_ms = 0;
	lw_place_load_reported(h, load, now_us);
	return change;
}

/*
 * lw_place_node_load_reported() - a node reported the load of its backend server, whichever
 * server that is. Returns a server that is leaving or accepts work again according to the
 * report and was not known to, else NULL.
 */
const lw_place_host_t *lw_place_node_load_reported(lw_place_t *p, const char *node,
						   const lw_load_t *load, uint64_t now_us)
{
	const lw_place_host_t *changed = NULL;

	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			if (strcmp(h->node, node) == 0 && apply_node_load(h, load, now_us))
				changed = h;
	return changed;
}

/* lw_place_node_leaving() - whether @node had reported that it, or its server, is leaving. */
bool lw_place_node_leaving(const lw_place_t *p, const char *node)
{
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->load.leaving && strcmp(h->node, node) == 0)
				return true;
	return false;
}

/*
 * lw_place_node_lost() - a node is unreachable or silent: its host gets no
 * new work for a time that grows with each failure in a row. @used: the lost
 * connection had carried data. A connection that was only attempted says
 * nothing about a node that never reported its load: while a fleet starts,
 * the node may not listen yet.
 */
void lw_place_node_lost(lw_place_t *p, const char *node, bool used, uint64_t now_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (strcmp(h->node, node) != 0 || now_us < h->suspect_until_us)
				continue;
			if (!used && !h->load_us && !h->backoff_ms)
				continue;
			h->backoff_ms = h->backoff_ms ? h->backoff_ms * 2 : SUSPECT_MIN_MS;
			if (h->backoff_ms > SUSPECT_MAX_MS)
				h->backoff_ms = SUSPECT_MAX_MS;
			h->suspect_until_us = now_us + (uint64_t)h->backoff_ms * 1000;
			h->load.leaving = false;
		}
}
