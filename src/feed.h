/*
 * Where the configuration and the list of backend servers come from. The
 * adapter of a platform implements it; the request loop takes the snapshots.
 */
#ifndef LW_FEED_H
#define LW_FEED_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"
#include "mailbox.h"
#include "proxyset.h"
#include "wirenames.h"

/* Why this node reads the store itself. */
typedef enum lw_feed_why {
	LW_FEED_START, /* it has read nothing yet */
	LW_FEED_READER, /* it reads for all */
	LW_FEED_NEWS_OLD, /* nothing was heard of those that read for all */
	LW_FEED_LEASE, /* the entry of its own backend server is missing */
	LW_FEED_SERVER_REPLACED, /* a server was replaced, and the list does not say so */
	LW_FEED_WHY_COUNT
} lw_feed_why_t;

typedef struct lw_feed_stats {
	uint64_t calls[LW_FEED_WHY_COUNT]; /* to the store */
	uint64_t failures;
	uint64_t events;
	uint64_t resyncs; /* read everything anew */
} lw_feed_stats_t;

typedef struct lw_feed {
	const lw_proxy_settings_t *set;
	lw_mailbox_t conf; /* lw_fleetconf_t */
	lw_mailbox_t servers; /* lw_serverlist_t */
	lw_mailbox_t
		in_use; /* the other way: the list that a reader that begins again finds in use */
	uint32_t wanted; /* the loop wants the store to be read; by lw_feed_want() */
	uint32_t why; /* lw_feed_why_t, of the newest wish; atomic */
	uint32_t patient; /* other nodes are the first to read again after an outage; atomic */
	uint64_t read_us; /* boot time of the last successful read; atomic */
	uint64_t
		due_us; /* boot time from which the call under way is waited for; 0: none is; atomic */
	uint64_t failed_us; /* boot time of the last failed call; atomic */
	uint64_t others_us; /* boot time of another node's last read, as told; atomic */
	uint64_t others_back_us; /* of their first read after a pause; atomic */
	bool hurry; /* what was read last is known to be old; under the lock */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	lw_feed_stats_t stats; /* written by the reader thread only */
} lw_feed_t;

/* What the adapter of a platform provides. */
typedef struct lw_platform {
	const lw_wirenames_t *names;
	/* path of the settings file; NULL if the platform does not tell */
	const char *(*settings_path)(void);
	/* starts a thread that fills the mailboxes; it runs until the process ends */
	lw_status_t (*start_feed)(lw_feed_t *feed);
	/* reads a configuration document; LW_ERR_CONFIG with the reason */
	lw_status_t (*parse_config)(const char *text, size_t len, lw_fleetconf_t **out);
} lw_platform_t;

void lw_feed_init(lw_feed_t *f, const lw_proxy_settings_t *set);
const char *lw_feed_why_name(lw_feed_why_t why);
bool lw_feed_rests(const lw_feed_t *f);
void lw_feed_want(lw_feed_t *f, lw_feed_why_t why);
void lw_feed_rest(lw_feed_t *f);
void lw_feed_set_patient(lw_feed_t *f, bool patient);
bool lw_feed_is_patient(const lw_feed_t *f);
bool lw_feed_wait_wanted(lw_feed_t *f);
void lw_feed_hurry(lw_feed_t *f);
void lw_feed_pause(lw_feed_t *f, uint32_t ms);
void lw_feed_asked(lw_feed_t *f, uint32_t wait_ms);
void lw_feed_failed(lw_feed_t *f);
void lw_feed_read(lw_feed_t *f);
void lw_feed_others_read(lw_feed_t *f, uint64_t at_us);
bool lw_feed_others_read_lately(const lw_feed_t *f);
uint64_t lw_feed_last_read_us(const lw_feed_t *f);
uint64_t lw_feed_last_known_us(const lw_feed_t *f);
uint64_t lw_feed_last_failure_us(const lw_feed_t *f);
bool lw_feed_overdue(const lw_feed_t *f, uint64_t us);

#endif
