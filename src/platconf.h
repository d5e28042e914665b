/*
 * The platform's configuration document, which operators publish through the
 * configuration service: the presets, the preset in force, and the host list of
 * every service. Nodes only read it.
 */
#ifndef LW_PLATCONF_H
#define LW_PLATCONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"
#include "status.h"

typedef enum lw_class {
	LW_CLASS_SHEDDABLE = 0, /* browsing, whois lookups: refused first under overload */
	LW_CLASS_DEFAULT,
	LW_CLASS_CRITICAL, /* registrations, renewals, commissions, deposits */
	LW_CLASS_COUNT
} lw_class_t;

#define LW_NAME_MAX 64

typedef struct lw_route {
	char name[LW_NAME_MAX]; /* "service/route" */
	lw_class_t cls;
	bool idempotent;
} lw_route_t;

typedef struct lw_preset {
	char name[LW_NAME_MAX];
	uint32_t retry_budget; /* most retries for one user request, over its whole call chain */
	double retry_ratio; /* retry tokens earned per request at a node */
	uint32_t queue_ms; /* longest wait in the admission queue, ms */
	uint32_t timeout_ms; /* timeout of one attempt at a peer, ms */
	double share[LW_CLASS_COUNT]; /* share of the concurrency limit a class may use */
	lw_route_t *routes;
	size_t nroutes;
} lw_preset_t;

typedef struct lw_host {
	char service[LW_NAME_MAX];
	char addr[LW_NAME_MAX]; /* peer frame address of the node, "ip:port" */
	char zone[LW_NAME_MAX];
	bool leaving;
} lw_host_t;

typedef struct lw_platconf {
	uint64_t version;
	const lw_preset_t *in_force;
	lw_preset_t *presets;
	size_t npresets;
	lw_host_t *hosts;
	size_t nhosts;
	uint64_t hash; /* xxh64 of the document bytes */
	char *text; /* the document as read, sent to peers */
	size_t textlen;
} lw_platconf_t;

lw_status_t lw_platconf_parse(const char *text, size_t len, lw_platconf_t **out);
void lw_platconf_free(lw_platconf_t *pc);
const lw_route_t *lw_platconf_route(const lw_platconf_t *pc, lw_str_t route);
const char *lw_class_name(lw_class_t cls);
int lw_class_parse(lw_str_t s);

#endif
