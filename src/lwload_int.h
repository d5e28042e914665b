/* Internals of lwload, shared by lwload.c and lwloadreport.c. */
#ifndef LW_LWLOAD_INT_H
#define LW_LWLOAD_INT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "platconf.h"

#define ROUTES_MAX  16
#define TARGETS_MAX 64
#define SECONDS_MAX 600

/*
 * Where requests are sent: to a node's path for callers, to a node's outbound
 * path (as a call between services, which passes two nodes), or directly to a
 * backend server.
 */
typedef enum path_mode { PATH_CALL, PATH_OUT, PATH_DIRECT } path_mode_t;

typedef struct route {
	char service[LW_NAME_MAX];
	char name[LW_NAME_MAX];
	double weight;
	bool keyed; /* not idempotent: requests have an idempotency key */
	bool sheddable;
	uint64_t n[3]; /* by outcome */
	uint64_t good; /* done without a server error and within the deadline */
} route_t;

typedef struct target {
	char service[LW_NAME_MAX];
	char addr[LW_NAME_MAX];
} target_t;

/* one finished request */
typedef struct sample {
	uint16_t second; /* second of the run in which the request was due */
	bool good;
	uint32_t lat_us;
} sample_t;

typedef struct job {
	uint64_t id;
	int route;
	uint64_t due_ms;
} job_t;

/* the run: its parameters, the queue between generator and workers, and the results */
typedef struct lw_load_run {
	route_t routes[ROUTES_MAX];
	int nroutes;
	target_t targets[TARGETS_MAX];
	int ntargets;
	double rate;
	double seconds;
	int workers;
	unsigned deadline_ms;
	int client_retries;
	double surge_from, surge_to, surge_mult;
	FILE *history;
	pthread_mutex_t lock;
	pthread_cond_t queue_changed;
	job_t *queue;
	size_t qhead, qlen, qcap;
	bool done_generating;
	uint64_t t0;
	sample_t *samples;
	size_t nsamples, capsamples;
	uint64_t dropped; /* requests that found the queue full */
	uint64_t attempts;
	uint64_t crossed_answers; /* answers that belong to another request */
	char run[32]; /* unique to this run; part of every request id and key */
	path_mode_t path_mode;
} lw_load_run_t;

extern lw_load_run_t load_run;

void lw_load_report(void);

#endif
