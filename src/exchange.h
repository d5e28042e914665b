/*
 * One request of a caller from its head to its final answer: which route it
 * takes, which backend servers it is given to, and what the caller is told.
 */
#ifndef LW_EXCHANGE_H
#define LW_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"
#include "fleetconf.h"
#include "gate.h"
#include "histogram.h"
#include "httphead.h"
#include "hotpath.h"
#include "evloop.h"
#include "mesh.h"
#include "place.h"
#include "quota.h"
#include "routestats.h"

typedef struct lw_exchange lw_exchange_t;
typedef struct lw_reply lw_reply_t;

/* How the answer reaches the caller. */
typedef struct lw_reply_ops {
	/* head (status line and end-to-end headers) and first bytes of the body */
	void (*answer)(lw_reply_t *r, const lw_answer_t *a, lw_str_t body, bool fin);
	void (*data)(lw_reply_t *r, lw_str_t data, bool fin);
	/* an answer of this node; @retry_after_ms 0: none is told */
	void (*own)(lw_reply_t *r, uint32_t status, const char *why, uint32_t retry_after_ms);
	/* the answer began and cannot be completed */
	void (*cut)(lw_reply_t *r);
	/* more of the request's body can be taken */
	void (*resume)(lw_reply_t *r);
} lw_reply_ops_t;

struct lw_reply {
	const lw_reply_ops_t *ops;
};

typedef struct lw_engine_stats {
	uint64_t requests;
	uint64_t nested;
	uint64_t answered; /* with a backend server's answer */
	uint64_t no_route;
	uint64_t no_config;
	uint64_t not_identified; /* no key, or one that nobody holds */
	uint64_t over_limit; /* of those refused: their organisation was at its limit */
	uint64_t refused;
	uint64_t failed;
	uint64_t timeouts;
	uint64_t cancelled;
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t handed_back;
	uint64_t cut;
	uint64_t held; /* of those refused: backend servers ended under them */
	lw_histogram_t latency_user;
	lw_histogram_t latency_nested;
} lw_engine_stats_t;

/* What all exchanges share. */
typedef struct lw_engine {
	lw_evloop_t *evloop;
	lw_place_t place;
	lw_gate_t gate;
	lw_mesh_t *mesh;
	lw_quarantine_t *quarantine;
	lw_hotpath_t *hotpath;
	lw_quota_t *quota;
	lw_fleetconf_t *conf; /* in force; NULL before the first */
	uint32_t active;
	lw_exchange_t *exchanges; /* the oldest first */
	/* a server said that it is another one than the list says; may be NULL */
	void (*list_is_old)(void *ctx);
	/* how old this node's news from the store is; may be NULL */
	uint32_t (*news_age_ms)(void *ctx);
	void *ctx;
	lw_engine_stats_t stats;
	lw_routestats_t routes;
} lw_engine_t;

/* A request as the caller's connection hands it over. */
typedef struct lw_exchange_ask {
	const lw_httphead_t *head;
	int64_t body_length; /* -1: chunked */
	uint64_t late_us; /* it lay unread so long while the host was suspended */
} lw_exchange_ask_t;

uint64_t lw_engine_oldest_us(const lw_engine_t *e);
void lw_engine_end_all(lw_engine_t *e);
lw_exchange_t *lw_exchange_start(lw_engine_t *e, lw_reply_t *reply, const lw_exchange_ask_t *ask);
void lw_exchange_send(lw_exchange_t *x);
void lw_exchange_body(lw_exchange_t *x, lw_str_t data, bool fin);
bool lw_exchange_full(const lw_exchange_t *x);
void lw_exchange_taken(lw_exchange_t *x, uint32_t bytes);
void lw_exchange_cancel(lw_exchange_t *x);

#endif
