/* Internals of the model of the control plane; see spreadsim.h. */
#ifndef LW_SPREADSIM_INT_H
#define LW_SPREADSIM_INT_H

#include <uthash.h>

#include "fanout.h"
#include "fleetconf.h"
#include "join.h"
#include "revdoc.h"
#include "spreadsim.h"

/* one way between two nodes, with the time until the receiver handles it, us */
#define LW_SPREAD_HOP_US 700
/* time of an answer of the store, us */
#define LW_SPREAD_STORE_US 4000
/* longest wait of the store for a change before it answers, us */
#define LW_SPREAD_WATCH_US 600000
#define LW_SPREAD_LISTS	   64

typedef enum event_kind {
	EVENT_START, /* a process starts */
	EVENT_STEP, /* timers of a node */
	EVENT_STATUS,
	EVENT_DOCUMENT,
	EVENT_READ, /* a call to the store ends */
	EVENT_CALL, /* the pause before the next call to the store is over */
	EVENT_LIST, /* the list in the store changes */
	EVENT_CONFIG, /* the configuration in the store changes */
} event_kind_t;

typedef struct event {
	uint64_t at_us;
	uint64_t seq; /* events of the same time happen in this order */
	event_kind_t kind;
	uint32_t node; /* the node it happens at */
	uint32_t incarnation; /* of that node's process; the event is void in another one */
	uint32_t reading; /* EVENT_READ, EVENT_CALL: void if the node's number is another one */
	uint32_t from; /* EVENT_STATUS, EVENT_DOCUMENT: the sender, and what it has */
	uint32_t from_incarnation;
	uint32_t list;
	uint32_t config;
	uint64_t read_us; /* last read of the store that the sender knows of */
	bool wants_reply;
	bool read_store;
	bool of_list; /* EVENT_DOCUMENT: of the list, else of the configuration */
} event_t;

typedef struct link {
	uint64_t key; /* the node that opened it, and the other one */
	uint32_t incarnation[2];
	uint64_t used_us;
	struct link *next; /* opened by the same node */
	UT_hash_handle hh;
} link_t;

typedef enum reading {
	READING_NOT,
	READING_CALL, /* a call is waiting for its answer */
	READING_PAUSE,
} reading_t;

typedef struct node {
	char backend[LW_NAME_MAX];
	char zone[LW_NAME_MAX];
	bool up;
	bool refused; /* the store rejects its calls */
	uint32_t incarnation;
	uint64_t started_us;
	uint64_t joined_us; /* 0: not yet */
	uint32_t list; /* version in use; 0: none */
	uint32_t config;
	uint64_t config_us; /* when it got the newest configuration */
	uint64_t peer_read_us; /* last reads of the store by any node and by this one or */
	uint64_t store_read_us; /* those that told it, as in proxymesh.c */
	uint64_t forwarded_us;
	uint64_t heard_us;
	uint64_t read_until_us;
	uint64_t fetch_us[2]; /* when it asked for the configuration and the list; 0: not */
	uint64_t busy_until_us; /* of its link */
	reading_t reading;
	bool wants_reading;
	uint32_t reading_number; /* of the call or pause */
	lw_storereader_reason_t why;
	uint64_t backoff_us;
	uint64_t wait_us;
	uint64_t call_us; /* when the current call began */
	link_t *links; /* that it opened, of all its processes */
	lw_join_t join;
	lw_fanout_t plan;
	lw_spread_counts_t counts;
} node_t;

/* a version of the list of servers */
typedef struct list_version {
	lw_serverlist_t list;
	lw_fanout_order_t *order;
	uint32_t bytes; /* sent whole */
	uint32_t step_bytes; /* sent as the difference from the version before */
} list_version_t;

struct lw_spread {
	uint32_t hosts;
	uint64_t rng;
	uint64_t now_us;
	uint64_t seq;
	event_t *heap;
	size_t nevents;
	size_t cap;
	node_t *node;
	uint32_t *order; /* hosts in the order in which their servers enter the list */
	list_version_t version[LW_SPREAD_LISTS + 1];
	lw_revdoc_t document;
	uint32_t newest_list; /* in the store */
	uint32_t newest_config;
	uint64_t config_us; /* when it was written */
	bool store_answers;
	link_t *links;
	uint64_t calls[LW_STOREREADER_REASON_COUNT];
};

uint32_t lw_spread_random_below(lw_spread_t *s, uint32_t below);

void lw_spread_push(lw_spread_t *s, event_t e);
event_t lw_spread_pop(lw_spread_t *s);
void lw_spread_at_node(lw_spread_t *s, event_kind_t kind, uint32_t i, uint64_t after_us);

bool lw_spread_is_open(const lw_spread_t *s, const link_t *l);
uint64_t lw_spread_transmit(lw_spread_t *s, uint32_t from, size_t bytes);
void lw_spread_send_status(lw_spread_t *s, uint32_t from, uint32_t to, bool wants_reply, bool reply,
			   bool read_store);

void lw_spread_begin_call(lw_spread_t *s, uint32_t i);
void lw_spread_update_reading(lw_spread_t *s, uint32_t i);
void lw_spread_on_read(lw_spread_t *s, uint32_t i);

bool lw_spread_joined(const node_t *n);
void lw_spread_start_process(lw_spread_t *s, uint32_t i);
void lw_spread_on_step(lw_spread_t *s, uint32_t i);
void lw_spread_on_status(lw_spread_t *s, const event_t *e);
void lw_spread_on_document(lw_spread_t *s, const event_t *e);
void lw_spread_apply_list(lw_spread_t *s, uint32_t i, uint32_t version);
void lw_spread_apply_config(lw_spread_t *s, uint32_t i, uint32_t version);
void lw_spread_forward_update(lw_spread_t *s, uint32_t i);

#endif
