/*
 * Interface to the thread that reads the configuration and the list of backend servers from
 * the store. The platform adapter implements the thread; the request loop takes the
 * snapshots from the mailboxes.
 */
#ifndef LW_STOREREADER_H
#define LW_STOREREADER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"
#include "mailbox.h"
#include "proxyset.h"
#include "wirenames.h"

/* Why this node reads the store itself. */
typedef enum lw_storereader_reason {
	LW_STOREREADER_START, /* nothing has been read yet */
	LW_STOREREADER_ELECTED, /* this node is one of the elected readers */
	LW_STOREREADER_STALE, /* no recent update came from the elected readers */
	LW_STOREREADER_LEASE, /* the entry of the local backend server is missing */
	/* a server was replaced and the list does not show it yet */
	LW_STOREREADER_SERVER_REPLACED,
	LW_STOREREADER_REASON_COUNT
} lw_storereader_reason_t;

typedef struct lw_storereader_stats {
	uint64_t calls[LW_STOREREADER_REASON_COUNT]; /* calls to the store, by reason */
	uint64_t failures;
	uint64_t events;
	uint64_t resyncs; /* full reads from scratch */
	uint64_t entries_overruled; /* entries of servers without effect, as others overrule them */
	uint64_t entries_removed; /* entries found to be gone */
	uint64_t entries_withdrawn; /* those that cannot have expired */
	uint64_t start_times_ignored; /* start times of servers that are in the future */
	uint64_t configs_rejected; /* versions of the configuration that failed their checks */
	uint64_t rejected_version; /* the last of them; 0: none, or it has no version */
} lw_storereader_stats_t;

/* A failed call to the store. */
typedef struct lw_storereader_failure {
	uint64_t at_us; /* boot time; 0: none failed yet */
	const char *call; /* what was called; NULL: none failed yet */
	int status; /* HTTP status of the answer; 0: there was none */
	uint32_t in_row; /* calls that failed since the last one that was answered */
} lw_storereader_failure_t;

typedef struct lw_storereader {
	const lw_proxy_settings_t *set;
	lw_mailbox_t conf; /* lw_fleetconf_t */
	lw_mailbox_t servers; /* lw_serverlist_t */
	/* reverse direction: the list in use, given to a reader that restarts */
	lw_mailbox_t in_use;
	/* whether the store is to be read; set by lw_storereader_start() and _stop() */
	uint32_t enabled;
	uint32_t reason; /* lw_storereader_reason_t of the latest start; atomic */
	uint32_t offset; /* another reader has the same rhythm; atomic */
	uint32_t for_others; /* other nodes wait for what this one reads; atomic */
	uint32_t deferring; /* other nodes retry first after an outage; atomic */
	uint64_t read_us; /* boot time of the last successful read; atomic */
	uint64_t prior_read_us; /* boot time of the one before; atomic */
	/* boot time at which the answer of the current call is due; 0: no call; atomic */
	uint64_t due_us;
	uint64_t failed_us; /* boot time of the last failed call; atomic */
	const char *failed_call; /* what was called; atomic */
	int failed_status; /* HTTP status of its answer; 0: there was none; atomic */
	uint32_t failed_in_row; /* calls that failed since the last answer; atomic */
	uint64_t remote_read_us; /* boot time of another node's last known read; atomic */
	uint64_t remote_resumed_us; /* boot time of their first read after a pause; atomic */
	bool read_now; /* the last read is known to be outdated; protected by the lock */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	lw_storereader_stats_t stats; /* written by the reader thread only */
} lw_storereader_t;

/* Functions that a platform adapter provides. */
typedef struct lw_platform {
	const lw_wirenames_t *names;
	/* path of the settings file; NULL if the platform does not define one */
	const char *(*settings_path)(void);
	/* starts a thread that fills the mailboxes until the process ends */
	lw_status_t (*start_store_reader)(lw_storereader_t *store_reader);
	/* parses a configuration document; LW_ERR_CONFIG with the reason on failure */
	lw_status_t (*parse_config)(const char *text, size_t len, lw_fleetconf_t **out);
} lw_platform_t;

void lw_storereader_init(lw_storereader_t *r, const lw_proxy_settings_t *set);
const char *lw_storereader_reason_name(lw_storereader_reason_t reason);
bool lw_storereader_is_idle(const lw_storereader_t *r);
void lw_storereader_start(lw_storereader_t *r, lw_storereader_reason_t reason);
void lw_storereader_stop(lw_storereader_t *r);
void lw_storereader_set_deferring(lw_storereader_t *r, bool deferring);
bool lw_storereader_is_deferring(const lw_storereader_t *r);
void lw_storereader_set_for_others(lw_storereader_t *r, bool for_others);
bool lw_storereader_is_for_others(const lw_storereader_t *r);
void lw_storereader_set_offset(lw_storereader_t *r, bool offset);
bool lw_storereader_is_offset(const lw_storereader_t *r);
bool lw_storereader_wait_started(lw_storereader_t *r);
void lw_storereader_read_now(lw_storereader_t *r);
void lw_storereader_pause(lw_storereader_t *r, uint32_t ms);
void lw_storereader_call_started(lw_storereader_t *r, uint32_t wait_ms);
void lw_storereader_call_failed(lw_storereader_t *r, const char *call, int status);
void lw_storereader_call_succeeded(lw_storereader_t *r);
void lw_storereader_note_remote_read(lw_storereader_t *r, uint64_t at_us);
bool lw_storereader_remote_read_recently(const lw_storereader_t *r);
uint64_t lw_storereader_last_read_us(const lw_storereader_t *r);
uint64_t lw_storereader_prior_read_us(const lw_storereader_t *r);
uint64_t lw_storereader_last_known_read_us(const lw_storereader_t *r);
lw_storereader_failure_t lw_storereader_last_failure(const lw_storereader_t *r);
bool lw_storereader_call_overdue(const lw_storereader_t *r, uint64_t us);

#endif
