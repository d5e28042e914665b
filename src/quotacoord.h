/*
 * Quota coordinator: adds up the usage reports of all nodes and computes which fraction of
 * each organisation's requests the nodes may admit, so that the organisation stays within
 * its limit.
 *
 * An organisation's limit is a token bucket. Its balance may become negative, as reports
 * are some tenths of a second old; less is admitted until the debt is repaid. For a silent
 * node, the share that it may be admitting as a standalone node stays reserved, so that
 * both sides of a network partition together stay within the limit. Two coordinators add
 * up the same reports independently of each other. No I/O; the caller passes the time.
 */
#ifndef LW_QUOTACOORD_H
#define LW_QUOTACOORD_H

#include <stddef.h>
#include <stdint.h>

#include "organisation.h"
#include "quota.h"

typedef struct lw_quotacoord lw_quotacoord_t;

lw_quotacoord_t *lw_quotacoord_new(const lw_quota_tolerance_t *tolerance, uint64_t now_us);
void lw_quotacoord_free(lw_quotacoord_t *c);
void lw_quotacoord_set_tolerance(lw_quotacoord_t *c, const lw_quota_tolerance_t *tolerance);
void lw_quotacoord_set_nodes(lw_quotacoord_t *c, uint32_t nodes);
void lw_quotacoord_set_limits(lw_quotacoord_t *c, const lw_orgs_t *orgs, uint64_t now_us);
void lw_quotacoord_add_report(lw_quotacoord_t *c, uint64_t node, const lw_quota_usage_t *uses,
			      size_t n, uint64_t now_us);
size_t lw_quotacoord_grants(lw_quotacoord_t *c, const lw_quota_usage_t *uses, size_t n,
			    lw_quota_grant_t *out, size_t most, uint64_t now_us);

#endif
