/* Internals of the fleet model, shared by simfleet.c and simserver.c; see simfleet.h. */
#ifndef LW_SIMFLEET_INT_H
#define LW_SIMFLEET_INT_H

#include "overload.h"
#include "level.h"
#include "place.h"
#include "retrylimit.h"
#include "retryrule.h"
#include "simfleet.h"
#include "simqueue.h"
#include "slotshare.h"
#include "waitq.h"

#define LW_SIM_NODES_MAX (LW_SIM_SERVICES_MAX * LW_SIM_SERVERS_MAX)

typedef struct run run_t;
typedef struct req req_t;

/* a server and its node */
typedef struct sim_node {
	uint32_t service;
	uint32_t index;
	uint32_t running;
	uint32_t limit;
	uint32_t slots;
	double speed;
	double service_us; /* moving average of the service time */
	uint32_t lot;
	bool mixed; /* kinds with different latency objectives are sent to the service */
	lw_fleet_objectives_t objectives; /* of these kinds, if mixed */
	bool by_kind; /* decisions use the execution times by kind of work */
	lw_worktable_t work;
	lw_slotshare_t share;
	lw_slotuse_t use;
	double arrived_us; /* execution time of the arrivals since the last level step */
	lw_waitq_t queue;
	lw_level_t level;
	lw_retrylimit_t arrivals;
	lw_place_t place; /* state of the other nodes as known here */
	lw_overload_t *hot; /* overload of the services on the call paths */
	char id[LW_NAME_MAX];
} sim_node_t;

/* a user request or a nested call, with its current attempt */
struct req {
	lw_waiter_t waiter; /* first member, so that a waiter can be cast to its request */
	lw_sim_kind_t *kind;
	req_t *parent;
	sim_node_t *origin; /* node that received the request first */
	sim_node_t *at; /* node to which the current attempt was sent */
	lw_place_host_t *host;
	lw_place_tried_t tried;
	lw_attempts_t attempts;
	uint32_t rank;
	uint64_t first_us; /* time of the user's first try */
	uint64_t begun_us;
	uint64_t give_up_us; /* time at which the caller times out */
	uint64_t target_us; /* time after which the user request misses its objective */
	uint64_t queued_us;
	uint64_t started_us;
	uint32_t tries_left; /* by the user */
	uint32_t calls_left; /* nested calls not made yet */
	uint32_t above; /* number of requests above it in the call tree */
	double work_done_ms; /* at servers, including nested calls */
	lw_path_levels_t hots; /* overloaded services on its call path */
	uint32_t depth; /* levels of nested calls below it */
	uint32_t retry_used; /* use of the retry allowance by its calls, per mille */
	bool begun; /* a retry was sent for one of its calls */
	bool queued;
	bool call_failed;
	bool finished; /* its caller or parent has the outcome */
};

struct run {
	lw_sim_t *sim;
	uint64_t now;
	uint64_t seq;
	uint64_t rng;
	lw_simqueue_t events;
	sim_node_t node[LW_SIM_NODES_MAX];
	size_t nnodes;
	lw_retryallowance_t terms;
	uint64_t ids;
};

uint64_t lw_sim_random(run_t *r);
double lw_sim_random01(run_t *r);
lw_simevent_t *lw_sim_push(run_t *r, lw_simevent_kind_t kind, uint64_t at_us, req_t *q);
uint32_t lw_sim_remaining_ms(const run_t *r, const req_t *q);
void lw_sim_node_load(const sim_node_t *n, lw_load_t *out);
void lw_sim_send_answer(run_t *r, req_t *q, lw_fail_t why, bool server_failed,
			uint32_t retry_after_ms);
void lw_sim_step_node(run_t *r, sim_node_t *n);
void lw_sim_at_node(run_t *r, req_t *q);
void lw_sim_complete_run(run_t *r, req_t *q, bool server_failed);
void lw_sim_build_nodes(run_t *r);
void lw_sim_number_priorities(lw_sim_t *s);

#endif
