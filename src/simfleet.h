/* A fleet in virtual time; see simfleet.c. */
#ifndef LW_SIMFLEET_H
#define LW_SIMFLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "platconf.h"
#include "status.h"

#define LW_SIM_KINDS_MAX    12
#define LW_SIM_SERVICES_MAX 8
#define LW_SIM_SERVERS_MAX  16
#define LW_SIM_SECONDS_MAX  120

/* What came of the user requests of one kind. */
typedef struct lw_sim_count {
	uint32_t asked;
	uint32_t in_target;
	uint32_t late;
	uint32_t refused;
	uint32_t failed;
} lw_sim_count_t;

/* A kind of request, of users or of servers. */
typedef struct lw_sim_kind {
	char name[LW_NAME_MAX];
	char service[LW_NAME_MAX];
	char call[LW_NAME_MAX]; /* kind of the calls it makes; empty: none */
	uint32_t calls; /* how many, one after the other */
	double rate; /* a second; 0: made by servers only */
	double work_ms;
	uint32_t priority;
	uint32_t target_ms;
	uint32_t deadline_ms;
	uint32_t timeout_ms;
	uint32_t retries; /* of the caller */
	bool idempotent;
	lw_sim_count_t count;
	uint16_t *latency_ms; /* of the answered ones */
	size_t nlatency;
} lw_sim_kind_t;

typedef struct lw_sim_service {
	char name[LW_NAME_MAX];
	uint32_t servers;
	uint32_t slots;
	double speed[LW_SIM_SERVERS_MAX];
	double knee; /* above this use of the slots a server slows down */
	double knee_x; /* so many times */
} lw_sim_service_t;

typedef enum lw_sim_policy {
	LW_SIM_FULL, /* as lwproxy */
	LW_SIM_SPREAD, /* repeats spread over all requests of a priority */
	LW_SIM_NO_LEVELS, /* nothing is refused at the root */
	LW_SIM_FIFO, /* first come, first served, no order by urgency */
	LW_SIM_NAIVE, /* random server, no limit, no refusal */
} lw_sim_policy_t;

/* Mechanisms of the full policy that can be switched off one by one. */
typedef enum lw_sim_mechanism {
	LW_SIM_LEVELS, /* refusals where requests begin */
	LW_SIM_OBJECTIVE_ORDER, /* queues go by the user request's objective */
	LW_SIM_WEIGHED_RANKS, /* by the work a route makes at a full service */
	LW_SIM_LOWEST_RANKS, /* get the repeats */
	LW_SIM_RESENDS, /* of shed calls to servers that had them */
	LW_SIM_INHERITED_RANK, /* calls rank as their request does */
	LW_SIM_KNEE_MARGIN, /* a part of the slots stays free */
	LW_SIM_MECHANISMS
} lw_sim_mechanism_t;

typedef struct lw_sim_total {
	uint32_t retries;
	uint32_t refusals;
	double useful_ms; /* server time of requests that led to an answer */
	double spent_ms; /* all server time */
} lw_sim_total_t;

typedef struct lw_sim {
	lw_sim_kind_t kinds[LW_SIM_KINDS_MAX];
	size_t nkinds;
	lw_sim_service_t services[LW_SIM_SERVICES_MAX];
	size_t nservices;
	double length_s;
	double burst; /* times the load */
	double burst_at_s;
	double burst_for_s;
	double slow_x; /* one server of the service named is so many times slower */
	char slow_service[LW_NAME_MAX];
	double shed_part; /* servers of the service named turn this part away at random */
	double shed_at_s;
	double shed_for_s;
	char shed_service[LW_NAME_MAX];
	double net_ms; /* one way between nodes */
	lw_sim_policy_t policy;
	bool without[LW_SIM_MECHANISMS];
	lw_sim_total_t total;
	uint32_t asked_at[LW_SIM_SECONDS_MAX]; /* user requests begun, by second */
	uint32_t good_at[LW_SIM_SECONDS_MAX]; /* of these, answered in target */
	double busy_ms[LW_SIM_SERVICES_MAX]; /* during the burst, by service */
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
