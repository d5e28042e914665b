/* Model of a fleet in virtual time, used by lwsim; see simfleet.c. */
#ifndef LW_SIMFLEET_H
#define LW_SIMFLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "platconf.h"
#include "status.h"

#define LW_SIM_KINDS_MAX    12
#define LW_SIM_SERVICES_MAX 8
#define LW_SIM_SERVERS_MAX  128
#define LW_SIM_SECONDS_MAX  120

/* Outcomes of the user requests of one kind. */
typedef struct lw_sim_count {
	uint32_t asked; /* all requests of the kind */
	uint32_t in_target; /* answered within the latency objective */
	uint32_t late; /* answered after the latency objective */
	uint32_t refused; /* rejected before execution */
	uint32_t failed; /* failed or timed out */
} lw_sim_count_t;

/* A kind of request, sent by users or by servers. */
typedef struct lw_sim_kind {
	char name[LW_NAME_MAX];
	char service[LW_NAME_MAX];
	char call[LW_NAME_MAX]; /* kind of its nested calls; empty: none */
	uint32_t calls; /* number of nested calls, made one after the other */
	double rate; /* user requests per second; 0: sent by servers only */
	double work_ms; /* mean work at the server, without calls and at speed 1 */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t urgency; /* priorities numbered without gaps, as by lw_fleetconf_priority() */
	uint32_t target_ms; /* latency objective */
	uint32_t deadline_ms; /* counted from the first try; bounds the retry-after delay */
	uint32_t timeout_ms; /* of one try of the user, or of one nested call */
	uint32_t retries; /* number of further tries of the user after rejections */
	bool idempotent;
	lw_sim_count_t count;
	uint16_t *latency_ms; /* of the answered requests */
	size_t nlatency;
} lw_sim_kind_t;

typedef struct lw_sim_service {
	char name[LW_NAME_MAX];
	uint32_t servers;
	uint32_t slots; /* per server */
	double speed[LW_SIM_SERVERS_MAX];
	double knee; /* a server slows down when a larger share of its slots is in use */
	double knee_x; /* factor on the work of a server above the knee */
} lw_sim_service_t;

typedef enum lw_sim_policy {
	LW_SIM_FULL, /* as lwproxy */
	LW_SIM_SPREAD, /* retries go to all requests of a priority, whatever their rank */
	LW_SIM_NO_LEVELS, /* no request is rejected where it enters the fleet */
	LW_SIM_FIFO, /* first come, first served, not ordered by priority */
	LW_SIM_NAIVE, /* random server, no concurrency limit, no rejection */
} lw_sim_policy_t;

/* Mechanisms of the full policy that can be disabled one by one. */
typedef enum lw_sim_mechanism {
	LW_SIM_LEVELS, /* rejection by admission level where requests enter the fleet */
	LW_SIM_OBJECTIVE_ORDER, /* queues ordered by the objective of the user request */
	LW_SIM_WEIGHED_RANKS, /* ranks weighted by a route's work at an overloaded service */
	LW_SIM_LOWEST_RANKS, /* retries go to the lowest ranks, the most important requests */
	LW_SIM_RESENDS, /* shed calls are sent again to servers that shed them */
	LW_SIM_INHERITED_RANK, /* calls have the rank of their parent request */
	LW_SIM_KNEE_MARGIN, /* some slots of a server stay free */
	LW_SIM_IDEMPOTENT_LAST, /* within a priority idempotent requests go after all others */
	LW_SIM_WORK_KINDS, /* decisions use execution times by kind of work */
	LW_SIM_MECHANISMS
} lw_sim_mechanism_t;

typedef struct lw_sim_total {
	uint32_t retries; /* by nodes */
	uint32_t refusals; /* rejections after which the user tries again */
	double useful_ms; /* server time spent on requests that were answered */
	double spent_ms; /* total server time */
} lw_sim_total_t;

typedef struct lw_sim {
	lw_sim_kind_t kinds[LW_SIM_KINDS_MAX];
	size_t nkinds;
	lw_sim_service_t services[LW_SIM_SERVICES_MAX];
	size_t nservices;
	double length_s;
	double burst; /* factor on the request rates during the burst */
	double burst_at_s;
	double burst_for_s;
	double slow_x; /* the first server of slow_service is slower by this factor */
	char slow_service[LW_NAME_MAX];
	double shed_part; /* share of its requests that shed_service sheds at random */
	double shed_at_s;
	double shed_for_s;
	char shed_service[LW_NAME_MAX];
	double net_ms; /* one-way delay between nodes */
	double retry_extra; /* retries allowed in each window besides the share of the requests */
	lw_sim_policy_t policy;
	bool without[LW_SIM_MECHANISMS]; /* disabled mechanisms */
	lw_sim_total_t total;
	uint32_t asked_at[LW_SIM_SECONDS_MAX]; /* user requests by the second of their first try */
	uint32_t good_at[LW_SIM_SECONDS_MAX]; /* those of them answered within the objective */
	double busy_ms[LW_SIM_SERVICES_MAX]; /* work during the burst at speed 1, by service */
	struct lw_sim_run *run;
} lw_sim_t;

lw_status_t lw_sim_load(const char *path, lw_sim_t **out);
lw_status_t lw_sim_set_policy(lw_sim_t *s, const char *name);
lw_status_t lw_sim_set_without(lw_sim_t *s, const char *name);
bool lw_sim_has_mechanism(const lw_sim_t *s, lw_sim_mechanism_t m);
void lw_sim_run(lw_sim_t *s, uint64_t seed);
void lw_sim_free(lw_sim_t *s);
uint32_t lw_sim_percentile(const lw_sim_kind_t *k, double part);
double lw_sim_goodput(const lw_sim_t *s);
double lw_sim_wasted(const lw_sim_t *s);
double lw_sim_bottleneck(const lw_sim_t *s);
double lw_sim_recovery_s(const lw_sim_t *s);

#endif
