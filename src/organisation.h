/*
 * The organisations of a configuration: their API keys, priorities and limits. Built once
 * with its snapshot and immutable afterwards.
 *
 * The table contains a digest and the text of each key. Keys are never logged or
 * forwarded.
 */
#ifndef LW_ORGANISATION_H
#define LW_ORGANISATION_H

#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"
#include "status.h"

/* Priority of an organisation that specifies none. */
#define LW_ORG_PRIORITY_DEFAULT 1

typedef struct lw_organisation {
	const char *name; /* interned */
	uint64_t id; /* digest of the name: the same on every node and in every version */
	uint32_t priority; /* 0 is the most urgent; precedes the route's priority */
	double rate_per_s; /* requests per second allowed at all nodes together; 0: no limit */
	double burst; /* requests allowed in addition */
} lw_organisation_t;

typedef struct lw_orgs lw_orgs_t;

lw_orgs_t *lw_orgs_new(void);
void lw_orgs_free(lw_orgs_t *o);
lw_organisation_t *lw_orgs_add(lw_orgs_t *o, lw_str_t name);
void lw_orgs_add_key(lw_orgs_t *o, lw_str_t key);
lw_status_t lw_orgs_finish(lw_orgs_t *o);
size_t lw_orgs_count(const lw_orgs_t *o);
const lw_organisation_t *lw_orgs_at(const lw_orgs_t *o, size_t i);
const lw_organisation_t *lw_orgs_by_key(const lw_orgs_t *o, lw_str_t key);

#endif
