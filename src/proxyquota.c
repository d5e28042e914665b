/*
 * Limits of organisations: sends this node's reports to the quota coordinators
 * and acts as a coordinator itself if chosen. The demand that they report also
 * gives the fair shares.
 */
#include <string.h>
#include <xxhash.h>

#include "log.h"
#include "proxy_int.h"
#include "quotachoice.h"

/* period of the check whether a report is due, in seconds */
#define STEP_S 0.05
/* most organisations in one report; the others follow in the next one */
#define REPORT_MAX_ORGS 4096

static lw_quota_usage_t uses[REPORT_MAX_ORGS];
static lw_quota_grant_t terms[REPORT_MAX_ORGS];

static lw_quota_tolerance_t settings_terms(const lw_proxy_settings_t *set)
{
	return (lw_quota_tolerance_t){ set->quota_window_s, set->quota_overage, set->quota_slack };
}

static void report_to(lw_proxy_t *p, uint32_t coordinator)
{
	uint64_t now = p->evloop.now_us;
	const char *node = p->quota_coordinator[coordinator];
	size_t n = lw_quota_report(p->engine.quota, coordinator, now, uses, REPORT_MAX_ORGS);

	p->quota_number[coordinator]++;
	if (strcmp(node, p->mesh_addr) == 0) {
		lw_quotacoord_add_report(p->coordinator, p->quota_node, uses, n, now);
		n = lw_quotacoord_grants(p->coordinator, uses, n, terms, REPORT_MAX_ORGS, now);
		lw_quota_apply_grants(p->engine.quota, coordinator, terms, n, now);
	} else if (!lw_mesh_report_quota(p->engine.mesh, node, p->quota_node,
					 p->quota_number[coordinator], uses, n)) {
		lw_quota_coordinator_lost(p->engine.quota, coordinator);
	}
}

static double told_demand(const void *ctx, uint64_t org, uint64_t now_us)
{
	return lw_quota_fleet_demand(ctx, org, now_us);
}

static void update_shares(lw_proxy_t *p)
{
	lw_fairshare_source_t source = { told_demand, p->engine.quota,
					 lw_quota_nodes(p->engine.quota) };
	lw_fairshare_state_t s;

	if (!lw_fairshare_step(p->engine.fairshare, &source, p->evloop.now_us))
		return;
	s = lw_fairshare_state(p->engine.fairshare);
	lw_log(LW_LOG_fair_shares, "on=%d organisations=%u told=%u", s.in_effect, s.norgs, s.ntold);
}

static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	bool alone = lw_quota_is_standalone(p->engine.quota, p->evloop.now_us);

	(void)loop;
	(void)revents;
	for (uint32_t i = 0; i < LW_QUOTA_COORDINATORS; i++)
		if (p->quota_coordinator[i][0] &&
		    lw_quota_report_due(p->engine.quota, i, p->evloop.now_us))
			report_to(p, i);
	if (alone != p->quota_alone)
		lw_log(LW_LOG_quota_alone, "alone=%d keepers=%s,%s", alone, p->quota_coordinator[0],
		       p->quota_coordinator[1]);
	p->quota_alone = alone;
	update_shares(p);
}

static bool contains(char list[][LW_NAME_MAX], const char *node)
{
	for (uint32_t i = 0; i < LW_QUOTA_COORDINATORS; i++)
		if (strcmp(list[i], node) == 0)
			return true;
	return false;
}

/* Returns the chosen coordinator that has no slot yet; empty if there is none. */
static const char *unassigned_coordinator(const lw_proxy_t *p, char chosen[][LW_NAME_MAX])
{
	for (uint32_t i = 0; i < LW_QUOTA_COORDINATORS; i++)
		if (chosen[i][0] &&
		    !contains((char(*)[LW_NAME_MAX])p->quota_coordinator, chosen[i]))
			return chosen[i];
	return "";
}

/*
 * lw_proxy_quota_update_servers() - the list of backend servers changed, which
 * may change the choice of coordinators.
 */
void lw_proxy_quota_update_servers(lw_proxy_t *p, const lw_serverlist_t *sl)
{
	char backends[LW_QUOTA_COORDINATORS][LW_NAME_MAX];
	char chosen[LW_QUOTA_COORDINATORS][LW_NAME_MAX] = { { 0 } };
	uint32_t n = lw_quotachoice_coordinators(sl, backends);

	for (uint32_t i = 0; i < n; i++)
		lw_place_node_addr(chosen[i], LW_NAME_MAX, backends[i], p->set->mesh_port);
	for (uint32_t i = 0; i < LW_QUOTA_COORDINATORS; i++) {
		if (p->quota_coordinator[i][0] && contains(chosen, p->quota_coordinator[i]))
			continue;
		lw_str_copy(p->quota_coordinator[i], LW_NAME_MAX,
			    lw_str_c(unassigned_coordinator(p, chosen)));
		lw_quota_coordinator_lost(p->engine.quota, i);
	}
	lw_quota_set_nodes(p->engine.quota, (uint32_t)sl->nservers);
	lw_quotacoord_set_nodes(p->coordinator, (uint32_t)sl->nservers);
}

/*
 * lw_proxy_quota_update_config() - a new configuration is in force; without
 * organisations nothing is reported.
 */
void lw_proxy_quota_update_config(lw_proxy_t *p)
{
	const lw_orgs_t *orgs = p->engine.conf->orgs;

	lw_fairshare_set_orgs(p->engine.fairshare, orgs, p->evloop.now_us);
	if (!orgs) {
		update_shares(p);
		ev_timer_stop(p->evloop.loop, &p->quota_timer);
		return;
	}
	lw_quotacoord_set_limits(p->coordinator, orgs, p->evloop.now_us);
	ev_timer_start(p->evloop.loop, &p->quota_timer);
}

/* lw_proxy_quota_update_settings() - the quota settings changed. */
void lw_proxy_quota_update_settings(lw_proxy_t *p)
{
	lw_quota_tolerance_t t = settings_terms(p->set);

	lw_quota_set_tolerance(p->engine.quota, &t);
	lw_quotacoord_set_tolerance(p->coordinator, &t);
}

/*
 * lw_proxy_quota_node_lost() - the connection to @node was lost; if @node is a
 * coordinator, what it learned from this node's reports may be lost too.
 */
void lw_proxy_quota_node_lost(lw_proxy_t *p, const char *node)
{
	for (uint32_t i = 0; i < LW_QUOTA_COORDINATORS; i++)
		if (strcmp(p->quota_coordinator[i], node) == 0)
			lw_quota_coordinator_lost(p->engine.quota, i);
}

/*
 * lw_proxy_quota_on_report() - handles a report of @node to this node as a
 * coordinator; writes the reply to @out (up to @most entries) and returns its
 * number of entries.
 */
size_t lw_proxy_quota_on_report(void *ctx, uint64_t node, const lw_quota_usage_t *reported,
				size_t n, lw_quota_grant_t *out, size_t most)
{
	lw_proxy_t *p = ctx;
	uint64_t now = p->evloop.now_us;

	lw_quotacoord_add_report(p->coordinator, node, reported, n, now);
	return lw_quotacoord_grants(p->coordinator, reported, n, out, most, now);
}

/*
 * lw_proxy_quota_on_reply() - handles the reply of a coordinator to the report
 * @number; a reply to an older report is ignored.
 */
void lw_proxy_quota_on_reply(void *ctx, const char *node, uint32_t number,
			     const lw_quota_grant_t *told, size_t n)
{
	lw_proxy_t *p = ctx;

	for (uint32_t i = 0; i < LW_QUOTA_COORDINATORS; i++)
		if (number == p->quota_number[i] && strcmp(p->quota_coordinator[i], node) == 0)
			lw_quota_apply_grants(p->engine.quota, i, told, n, p->evloop.now_us);
}

/*
 * lw_proxy_quota_init() - nothing is limited before a configuration has been
 * received.
 */
void lw_proxy_quota_init(lw_proxy_t *p)
{
	lw_quota_tolerance_t t = settings_terms(p->set);
	uint64_t seed = (uint64_t)lw_evloop_random(&p->evloop, UINT32_MAX) << 32 |
			lw_evloop_random(&p->evloop, UINT32_MAX);

	p->quota_node = XXH3_64bits(p->mesh_addr, strlen(p->mesh_addr));
	p->engine.quota = lw_quota_new(&t, seed);
	p->engine.fairshare = lw_fairshare_new(p->evloop.now_us);
	p->coordinator = lw_quotacoord_new(&t, p->evloop.now_us);
	ev_timer_init(&p->quota_timer, on_step, STEP_S, STEP_S);
	p->quota_timer.data = p;
}
