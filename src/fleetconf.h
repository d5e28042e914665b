/*
 * Immutable snapshots of what operators and backend servers publish: the
 * configuration (routes, limits) and the list of backend servers. The adapter in
 * platform/ builds them; the event loop reads them. Names in them are interned (name.h).
 */
#ifndef LW_FLEETCONF_H
#define LW_FLEETCONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"
#include "name.h"
#include "organisation.h"
#include "platconf.h"
#include "removal.h"

/* One destination of a route. */
typedef struct lw_split {
	const char *service;
	uint32_t weight;
	int64_t current; /* state of the smooth weighted round robin; used by the event loop only */
} lw_split_t;

/*
 * A rule of the configuration: destinations, priority and timeouts of matching
 * requests.
 */
typedef struct lw_fleet_route {
	char *key; /* host, a zero byte, path prefix */
	size_t keylen;
	size_t hostlen;
	const char *name;
	bool idempotent; /* may be executed more than once */
	uint32_t priority; /* 0 is the most urgent */
	bool open; /* accepts requests without a key even if organisations are configured */
	uint32_t timeout_ms; /* longest time a caller waits for the answer */
	uint32_t target_ms; /* latency objective */
	uint32_t max_attempts; /* most backend servers one request is sent to */
	lw_split_t *splits;
	size_t nsplits;
} lw_fleet_route_t;

/* A service whose backend servers register themselves. */
typedef struct lw_fleet_service {
	const char *name;
	const char *health; /* path of the health check; empty: none configured */
} lw_fleet_service_t;

/* Shortest and longest latency objective of the routes that lead to a service. */
typedef struct lw_fleet_objectives {
	uint32_t shortest_ms;
	uint32_t longest_ms;
} lw_fleet_objectives_t;

/* Limits on requests of callers. */
typedef struct lw_fleet_limits {
	uint32_t max_header_bytes;
	uint64_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} lw_fleet_limits_t;

typedef struct lw_fleetconf {
	uint64_t version;
	lw_fleet_limits_t limits;
	lw_fleet_route_t *routes; /* sorted by key */
	size_t nroutes;
	lw_fleet_service_t *services;
	size_t nservices;
	lw_orgs_t *orgs; /* NULL: no organisations, requests carry no keys */
	/* sorted distinct values: priorities of organisations, then the urgency of routes */
	uint32_t *priorities;
	size_t norg_priorities;
	size_t nroute_priorities;
	char *text; /* the document as published, sent to other nodes */
	size_t textlen;
} lw_fleetconf_t;

/* A backend server's entry as the server registered it. */
typedef struct lw_server_entry {
	const char *id; /* stays the same when the server restarts */
	uint64_t born_ms; /* Unix time of the process start: distinguishes processes; 0: unknown */
	const char *service;
	char addr[LW_NAME_MAX]; /* "ip:port" of the backend server itself */
	const char *zone;
	uint32_t slots;
	bool draining;
	uint64_t created; /* position in the store's history; orders entries of one address */
	uint64_t written; /* position of its last write that was read; 0: unknown */
	/* written after the list lacked it, so that it is not from a copy of the store */
	bool proven;
} lw_server_entry_t;

typedef struct lw_serverlist {
	uint64_t revision; /* position in the store's history at the read, see storepos.h */
	lw_server_entry_t *servers;
	size_t nservers;
	lw_withdrawn_t *withdrawn; /* entries that were withdrawn recently, oldest first */
	size_t nwithdrawn;
} lw_serverlist_t;

lw_fleetconf_t *lw_fleetconf_new(void);
void lw_fleetconf_free(lw_fleetconf_t *fc);
lw_fleet_route_t *lw_fleetconf_add(lw_fleetconf_t *fc, lw_str_t host, lw_str_t prefix);
void lw_fleet_route_split(lw_fleet_route_t *r, lw_str_t service, uint32_t weight);
void lw_fleetconf_add_service(lw_fleetconf_t *fc, lw_str_t name, lw_str_t health);
const lw_fleet_service_t *lw_fleetconf_service(const lw_fleetconf_t *fc, const char *name);
void lw_fleetconf_finish(lw_fleetconf_t *fc);
uint32_t lw_fleetconf_priority(const lw_fleetconf_t *fc, const lw_organisation_t *org,
			       const lw_fleet_route_t *r);
uint32_t lw_fleetconf_most_urgent(const lw_fleetconf_t *fc);
bool lw_fleetconf_mixed(const lw_fleetconf_t *fc, const char *service, lw_fleet_objectives_t *out);
lw_fleet_route_t *lw_fleetconf_match(const lw_fleetconf_t *fc, lw_str_t host, lw_str_t path);
const char *lw_fleet_route_next(lw_fleet_route_t *r);
void lw_serverlist_set_withdrawn(lw_serverlist_t *sl, const lw_withdrawn_t *from, size_t n);
lw_serverlist_t *lw_serverlist_copy(const lw_serverlist_t *sl);
void lw_serverlist_free(lw_serverlist_t *sl);

#endif
