/* The status page of the proxy; see proxystatus.h. */
#include "proxystatus.h"

#include <inttypes.h>
#include <string.h>

#include "level.h"
#include "storepos.h"

/* most organisations shown by name */
#define ORGS_SHOWN 32
/* most suspect requests shown */
#define SUSPECTS_SHOWN 32

static const char *state_of(const lw_place_host_t *h, uint64_t now_us)
{
	if (!lw_place_usable(h, now_us))
		return "gone";
	if (h->draining)
		return "draining";
	if (now_us < h->suspect_until_us)
		return "unreachable";
	if (h->load.leaving)
		return "node_stopping";
	if (!h->listed)
		return "lapsed";
	return "ok";
}

static void print_host(FILE *f, const lw_place_host_t *h, uint64_t now_us)
{
	fprintf(f,
		"  server=%s node=%s %s state=%s running=%u queued=%u limit=%u service_ms=%u "
		"level=%u failing_permille=%u ours=%u ",
		h->id, h->node,
		h->self	     ? "here" :
		h->same_zone ? "same_zone" :
			       "other_zone",
		state_of(h, now_us), h->load.running, h->load.queued, h->load.limit,
		h->load.service_us / 1000, h->load.level, h->load.failing, h->inflight);
	if (h->load.notice.limited)
		fprintf(f, "takes_per_s=%.1f ", h->load.notice.limit_per_s);
	if (h->load_us)
		fprintf(f, "news_ms=%" PRIu64 "\n", (now_us - h->load_us) / 1000);
	else
		fprintf(f, "news_ms=never\n");
}

static void print_services(FILE *f, const lw_engine_t *e)
{
	uint64_t now = e->evloop->now_us;

	for (const lw_place_service_t *s = e->place.services; s; s = s->next) {
		uint32_t level = lw_place_level(s, now);

		fprintf(f, "service %s: %s level=%u\n", s->name,
			level < LW_LEVEL_ADMIT_ALL ? "refuses some ranks" : "open", level);
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			print_host(f, h, now);
	}
}

/* prints how many requests stayed in the zone of this node, and how many left it and why */
static void print_zones(FILE *f, const lw_engine_t *e)
{
	uint64_t plans[LW_ZONE_PLAN_COUNT];
	uint32_t leaving = 0;

	lw_place_zone_plans(&e->place, plans);
	for (const lw_place_service_t *s = e->place.services; s; s = s->next)
		leaving += s->zone.leaving;
	fprintf(f, "zones: services_leaving=%u", leaving);
	for (int i = 0; i < LW_ZONE_PLAN_COUNT; i++)
		fprintf(f, " %s=%" PRIu64, lw_zoneplan_name((lw_zoneplan_t)i), plans[i]);
	fprintf(f, "\n");
}

/*
 * Prints where this node gets store updates from, to how many nodes it forwards
 * them, and the cost.
 */
/* a rejected version above the one in force means that this node uses an outdated one */
static void print_configuration(FILE *f, const lw_proxystatus_t *s)
{
	const lw_fleetconf_t *conf = s->engine->conf;

	fprintf(f,
		"configuration: in_force=%" PRIu64 " rejected=%" PRIu64 " rejections=%" PRIu64 "\n",
		conf ? conf->version : 0, s->store_reader->rejected_version,
		s->store_reader->configs_rejected);
}

static void print_store_reading(FILE *f, const lw_proxystatus_t *s)
{
	uint64_t calls = 0;

	for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++)
		calls += s->store_reader->calls[i];
	fprintf(f,
		"news: age_ms=%u from=%s reads_store=%s rank=%u told_nodes=%zu store_calls=%" PRIu64
		" control_bytes=%" PRIu64 "\n",
		s->news_age_ms, s->peer_read_from[0] ? s->peer_read_from : "none",
		s->reads_store ? lw_storereader_reason_name(s->reads_why) : "no", s->fanout->rank,
		s->fanout->nchildren, calls, lw_mesh_control_bytes(s->mesh));
}

static void print_route(FILE *f, const lw_engine_t *e, const lw_fleet_route_t *r)
{
	const char *host = r->key;
	const char *prefix = host + strlen(host) + 1;

	fprintf(f, "route %s: %s%.*s priority=%u %s timeout_ms=%u target_ms=%u attempts=%u to",
		r->name, host, (int)(r->keylen - (size_t)(prefix - host)), prefix, r->priority,
		r->idempotent ? "repeatable" : "once", r->timeout_ms, r->target_ms,
		r->max_attempts);
	for (size_t i = 0; i < r->nsplits; i++)
		fprintf(f, " %s:%u", r->splits[i].service, r->splits[i].weight);
	fprintf(f, " calls_below=%u\n", lw_overload_call_depth(e->overload, r->name));
}

static void print_suspects(FILE *f, const lw_engine_t *e)
{
	const lw_suspect_t *list[SUSPECTS_SHOWN];
	size_t n = lw_quarantine_list(e->quarantine, list, SUSPECTS_SHOWN);

	for (size_t i = 0; i < n; i++)
		fprintf(f, "suspect: print=%016" PRIx64 " ends=%u trials=%u held_ms=%u\n",
			list[i]->print.whole, list[i]->ncrashes, list[i]->trials,
			lw_quarantine_held_ms(e->quarantine, &list[i]->print, e->evloop->now_us));
}

static void print_shares(FILE *f, const lw_engine_t *e)
{
	lw_fairshare_state_t s = lw_fairshare_state(e->fairshare);

	fprintf(f,
		"fair_shares: in_effect=%d organisations=%u demand_told=%u demand_local=%u"
		" moved_back=%" PRIu64 "\n",
		s.in_effect, s.norgs, s.ntold, s.norgs - s.ntold, s.moved_back);
}

static void print_organisations(FILE *f, const lw_proxystatus_t *s)
{
	const lw_engine_t *e = s->engine;
	lw_quota_count_t counts[ORGS_SHOWN], others;
	size_t n = lw_quota_counts(e->quota, counts, ORGS_SHOWN, &others);

	if (!e->conf || !e->conf->orgs)
		return;
	fprintf(f, "limits: organisations=%zu alone=%d keepers=%s,%s\n",
		lw_orgs_count(e->conf->orgs), lw_quota_is_standalone(e->quota, e->evloop->now_us),
		s->quota_coordinator[0][0] ? s->quota_coordinator[0] : "none",
		s->quota_coordinator[1][0] ? s->quota_coordinator[1] : "none");
	for (size_t i = 0; i < n; i++)
		fprintf(f,
			"organisation %s: limit_per_s=%.0f asked=%" PRIu64 " over_limit=%" PRIu64
			" admit_permille=%u\n",
			counts[i].name, counts[i].rate_per_s, counts[i].asked, counts[i].refused,
			counts[i].admit_permille);
	fprintf(f, "organisations, all others: asked=%" PRIu64 " over_limit=%" PRIu64 "\n",
		others.asked, others.refused);
}

/* lw_proxystatus_print() - prints one item per line, as key=value fields. */
void lw_proxystatus_print(FILE *f, const lw_proxystatus_t *s)
{
	const lw_engine_t *e = s->engine;
	lw_load_t own;

	lw_gate_load(&e->gate, &own);
	fprintf(f,
		"node: service=%s zone=%s ready=%d stopping=%d active=%u config=%" PRIu64
		" store_era=%u servers_revision=%" PRIu64 " news_age_ms=%u reads_store=%d\n",
		e->evloop->set->service, e->evloop->set->zone, s->ready, e->evloop->leaving,
		e->active, e->conf ? e->conf->version : 0, lw_storepos_era(s->servers_revision),
		lw_storepos_revision(s->servers_revision), s->news_age_ms, s->reader);
	fprintf(f,
		"backend: id=%s leaving=%d running=%u queued=%u limit=%u service_ms=%u level=%u "
		"failing_permille=%u returned=%" PRIu64 "\n",
		e->gate.server_id, lw_gate_leaving(&e->gate), own.running, own.queued, own.limit,
		own.service_us / 1000, own.level, own.failing,
		e->gate.stats.refused[LW_FAIL_RETURNED]);
	fprintf(f,
		"work: by_kind=%d kinds=%u long_running=%u reserved=%u ahead_of_long=%" PRIu64
		" long_due=%" PRIu64 "\n",
		e->gate.by_kind, e->gate.work.n, e->gate.use.running_long, e->gate.share.reserved,
		e->gate.stats.ahead_of_long, e->gate.stats.long_due);
	print_configuration(f, s);
	print_store_reading(f, s);
	print_zones(f, e);
	print_suspects(f, e);
	print_organisations(f, s);
	print_shares(f, e);
	print_services(f, e);
	for (size_t i = 0; e->conf && i < e->conf->nroutes; i++)
		print_route(f, e, &e->conf->routes[i]);
}
