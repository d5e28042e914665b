/*
 * Adds up what all nodes report of the organisations' requests, and works out
 * which part of them to let in so that each organisation stays at its limit.
 *
 * An organisation's limit is a token bucket. It may run into debt, as reports are
 * some tenths of a second old; then less is let in until the debt is paid. For a
 * node that is not heard of, what it may be letting in on its own stays reserved,
 * so that both sides of a cut together keep to the limit. Two keepers add up the
 * same reports each for itself: neither has to hear of the other. No I/O; the time
 * is given.
 */
#ifndef LW_QUOTACOORD_H
#define LW_QUOTACOORD_H

#include <stddef.h>
#include <stdint.h>

#include "organisation.h"
#include "quota.h"

typedef struct lw_quotacoord lw_quotacoord_t;

lw_quotacoord_t *lw_quotacoord_new(const lw_quota_tolerance_t *terms, uint64_t now_us);
void lw_quotacoord_free(lw_quotacoord_t *k);
void lw_quotacoord_set_tolerance(lw_quotacoord_t *k, const lw_quota_tolerance_t *terms);
void lw_quotacoord_set_nodes(lw_quotacoord_t *k, uint32_t nodes);
void lw_quotacoord_set_limits(lw_quotacoord_t *k, const lw_orgs_t *orgs, uint64_t now_us);
void lw_quotacoord_add_report(lw_quotacoord_t *k, uint64_t node, const lw_quota_usage_t *uses,
			      size_t n, uint64_t now_us);
size_t lw_quotacoord_grants(lw_quotacoord_t *k, const lw_quota_usage_t *uses, size_t n,
			    lw_quota_grant_t *out, size_t most, uint64_t now_us);

#endif
