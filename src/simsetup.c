/* Sets up a run of the fleet model: its nodes and the priorities of its requests. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "admit.h"
#include "retryafter.h"
#include "simfleet_int.h"
#include "xalloc.h"

/* initial value of a node's average service time, us, as in gate.c */
#define SERVICE_FIRST_US 50000

/* the configuration of the fleet, as far as the model needs it: a route for each kind */
static lw_fleetconf_t *new_configuration(const lw_sim_t *s)
{
	lw_fleetconf_t *fc = lw_fleetconf_new();

	for (size_t i = 0; i < s->nkinds; i++) {
		const lw_sim_kind_t *k = &s->kinds[i];
		lw_fleet_route_t *route = lw_fleetconf_add(fc, lw_str_c(k->name), LW_STR("/"));

		route->target_ms = k->target_ms;
		lw_fleet_route_split(route, lw_str_c(k->service), 1);
	}
	lw_fleetconf_finish(fc);
	return fc;
}

/* lw_sim_build_nodes() - create the servers of all services and their nodes. */
void lw_sim_build_nodes(run_t *r)
{
	lw_sim_t *s = r->sim;
	lw_fleetconf_t *fc = new_configuration(s);
	lw_serverlist_t sl = { .servers = xcalloc(LW_SIM_NODES_MAX, sizeof(lw_server_entry_t)) };

	for (size_t i = 0; i < s->nservices; i++)
		for (uint32_t k = 0; k < s->services[i].servers; k++) {
			lw_server_entry_t *e = &sl.servers[sl.nservers];
			sim_node_t *n = &r->node[r->nnodes];

			e->id = lw_name_format("n%zu", r->nnodes);
			snprintf(e->addr, sizeof(e->addr), "10.0.%zu.%u:80", i, k);
			e->service = lw_name_c(s->services[i].name);
			e->zone = lw_name_format("zone-%u", k % 3);
			e->slots = s->services[i].slots;
			n->service = (uint32_t)i;
			n->index = k;
			n->slots = e->slots;
			n->limit = lw_sim_has_mechanism(s, LW_SIM_KNEE_MARGIN) ?
					   lw_admit_limit(e->slots) :
					   e->slots;
			n->speed = s->services[i].speed[k];
			if (k == 0 && strcmp(s->slow_service, s->services[i].name) == 0)
				n->speed /= s->slow_x;
			n->service_us = SERVICE_FIRST_US;
			n->mixed = lw_sim_has_mechanism(s, LW_SIM_WORK_KINDS) &&
				   lw_fleetconf_mixed(fc, s->services[i].name, &n->objectives);
			n->lot = (uint32_t)(r->nnodes * 2654435769u);
			n->hot = lw_overload_new();
			lw_level_init(&n->level);
			sl.nservers++;
			r->nnodes++;
		}
	for (size_t i = 0; i < r->nnodes; i++) {
		lw_place_init(&r->node[i].place, sl.servers[i].zone, sl.servers[i].addr, 7000,
			      r->terms);
		lw_place_update(&r->node[i].place, &sl, 0, 0);
	}
	free(sl.servers);
	lw_fleetconf_free(fc);
}

static uint32_t urgency_of(const lw_sim_kind_t *k, bool idempotent_last)
{
	uint32_t priority = k->priority < LW_PRIORITIES_MAX ? k->priority : LW_PRIORITIES_MAX - 1;

	return 2 * priority + (idempotent_last && k->idempotent);
}

/* lw_sim_number_priorities() - number the priorities as lw_fleetconf_priority() does. */
void lw_sim_number_priorities(lw_sim_t *s)
{
	bool idempotent_last = lw_sim_has_mechanism(s, LW_SIM_IDEMPOTENT_LAST);
	bool used[2 * LW_PRIORITIES_MAX] = { false };
	uint32_t number[2 * LW_PRIORITIES_MAX], next = 0;

	for (size_t i = 0; i < s->nkinds; i++)
		used[urgency_of(&s->kinds[i], idempotent_last)] = true;
	for (size_t i = 0; i < 2 * LW_PRIORITIES_MAX; i++) {
		number[i] = next;
		next += used[i];
	}
	for (size_t i = 0; i < s->nkinds; i++)
		s->kinds[i].urgency = number[urgency_of(&s->kinds[i], idempotent_last)];
}
