/*
 * The peers of a node: every node of the platform's host list, by address, with the state
 * this node has observed for each (drain announcements, failures, load, latency). Selects
 * the peer of each outbound call.
 *
 * A peer keeps its index while a call to it is open, even if new host lists arrive
 * meanwhile, so that a late reply is never attributed to another peer.
 */
#ifndef LW_PEERSET_H
#define LW_PEERSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "platconf.h"

typedef enum lw_peer_state {
	LW_PEER_LIVE = 0,
	LW_PEER_LEAVING, /* per the platform's host list */
	LW_PEER_DRAINING, /* announced by the peer itself */
	LW_PEER_SUSPECTED, /* failed repeatedly: gets no requests for a while */
	LW_PEER_TRIAL, /* was suspected: gets one request at a time */
	LW_PEER_UNLISTED, /* no longer in the host list */
} lw_peer_state_t;

typedef struct lw_peer {
	char addr[LW_NAME_MAX];
	char zone[LW_NAME_MAX];
	uint32_t service;
	bool listed; /* in the newest host list */
	bool leaving; /* state in that list */
	bool draining; /* announced by the peer, for its current incarnation */
	uint64_t incarnation; /* newest one received; 0 before the first */
	uint64_t since_ms; /* start of its slow start: when first listed, or restarted; 0: none */
	uint32_t fails; /* consecutive failed attempts */
	uint32_t backoff_ms; /* duration of the last suspicion */
	uint64_t suspect_until; /* 0: not suspected */
	bool trial; /* is or was suspected, no success since */
	uint32_t inflight;
	uint32_t load_permille; /* last reported load: in-flight calls over the limit */
	uint64_t load_at_ms;
	double fail_ratio; /* moving average of failed or 5xx answers */
	double latency_ms; /* moving average */
} lw_peer_t;

typedef struct lw_peerset lw_peerset_t;

lw_peerset_t *lw_peerset_new(const char *zone, uint64_t seed);
void lw_peerset_free(lw_peerset_t *ps);
void lw_peerset_update(lw_peerset_t *ps, const lw_host_t *hosts, size_t nhosts, uint64_t now_ms);
int lw_peerset_service(const lw_peerset_t *ps, const char *name);
const char *lw_peerset_service_name(const lw_peerset_t *ps, uint32_t service);
size_t lw_peerset_count(const lw_peerset_t *ps);
lw_peer_t *lw_peerset_get(const lw_peerset_t *ps, int peer);
int lw_peerset_find(const lw_peerset_t *ps, const char *addr);
int lw_peerset_pick(lw_peerset_t *ps, uint32_t service, int avoid, uint64_t now_ms);
bool lw_peerset_has_room(const lw_peerset_t *ps, uint32_t service, int avoid, uint64_t now_ms);
lw_peer_state_t lw_peer_state(const lw_peer_t *p, uint64_t now_ms);
const char *lw_peer_state_name(lw_peer_state_t s);
bool lw_peer_failed(lw_peer_t *p, uint64_t now_ms);
bool lw_peer_succeeded(lw_peer_t *p);
void lw_peer_update_status(lw_peer_t *p, uint64_t incarnation, bool draining, uint64_t now_ms);
void lw_peer_update_load(lw_peer_t *p, uint32_t load_permille, uint64_t now_ms);

#endif
