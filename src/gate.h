/*
 * Admission gate of the backend server on this host. All requests to the backend server pass
 * through it, so it knows exactly how many are executing. It starts no more requests than the
 * backend server can execute at once, queues the others by priority, and rejects those that cannot
 * start in time; a rejected request is certain not to have been executed.
 */
#ifndef LW_GATE_H
#define LW_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "bconn.h"
#include "call.h"
#include "fingerprint.h"
#include "handback.h"
#include "histogram.h"
#include "evloop.h"
#include "level.h"
#include "machine.h"
#include "notice.h"
#include "ratelimit.h"
#include "place.h"
#include "quarantine.h"
#include "slotshare.h"
#include "waitq.h"

typedef struct lw_gate_stats {
	uint64_t started;
	uint64_t answered;
	uint64_t refused[LW_FAIL_COUNT];
	uint64_t connections; /* connections opened to the backend server */
	/* those of them opened as no idle connection could carry the request */
	uint64_t connections_apart;
	uint64_t connections_unnamed; /* closed after an answer without a request id */
	uint64_t invalid_answers;
	uint64_t invalid_machine; /* reports of the speed of the machine out of range */
	uint64_t invalid_limits; /* answers that announce a rate limit which is not a number */
	uint64_t ahead_of_long; /* started while long work before them had no slot left */
	uint64_t long_due; /* long work started beyond its slots, as it could not start later */
	uint64_t cut_off; /* interrupted at the backend server by the exit of this process */
	uint64_t paced; /* rejected due to the rate limit of the backend server */
	lw_histogram_t wait;
} lw_gate_stats_t;

/* Maximum number of in-flight requests that are recorded as suspects of one crash. */
#define LW_CRASH_SUSPECTS_MAX 128

typedef struct lw_crash_suspect {
	lw_fingerprint_t print;
	bool tried_alone; /* it was being executed alone, as a trial */
} lw_crash_suspect_t;

/* State of a crash check of the backend server; see gatecrash.c. */
typedef struct lw_crash {
	ev_timer check_timer; /* next step of the check; active while a check is in progress */
	ev_io io; /* of the test connection */
	uint64_t since_us; /* when the first connection closed unexpectedly */
	uint32_t in_flight; /* requests whose connections closed */
	uint32_t nsuspects; /* those whose fingerprints are known */
	lw_crash_suspect_t suspects[LW_CRASH_SUSPECTS_MAX];
} lw_crash_t;

typedef struct lw_gate {
	lw_evloop_t *evloop;
	uint32_t slots; /* concurrent requests that the backend server can execute; 0: unknown */
	uint32_t limit; /* maximum number of requests sent to the backend server at once */
	uint32_t running; /* requests sent to it that are not answered yet */
	uint32_t lost_answers; /* those of them whose answers are presumed lost */
	uint32_t reported_busy; /* requests that it last reported as executing or queued */
	uint32_t started_since_report; /* requests sent to it since that report */
	bool reports_load;
	lw_machine_t machine; /* speed of the server's machine, from the same reports */
	bool mixed; /* routes with different latency objectives lead to the service */
	lw_fleet_objectives_t objectives; /* of these routes, if mixed */
	bool by_kind; /* decisions use the execution times by kind of work */
	lw_worktable_t work;
	lw_slotshare_t share;
	lw_slotuse_t use;
	double arrived_us; /* execution time of the arrivals since the last level step */
	double failing; /* moving average of its failure rate, 0 to 1 */
	double service_us; /* moving average of the execution time */
	lw_recentmax_t longest; /* of the execution times of all kinds of work */
	bool leaving; /* the backend server accepts no new work, by the server list or its lease */
	bool list_draining; /* the list has said that its process is draining */
	uint64_t down_until_us; /* it accepted no connection; no attempt is made until then */
	bool exiting; /* this node is about to exit */
	uint64_t server_born_ms; /* start time of its process; 0: unknown */
	const char *server_id; /* id of the current backend server on this host */
	const char *replaced_id; /* id that the backend server rejected as not its own */
	lw_notice_t notice; /* self-announcement of the backend server with server_id */
	uint64_t leaving_us; /* when it last announced that it is leaving; 0: never */
	/*
	 * another process than the one that was listed then may run: the next answer decides
	 * whether the announcement still holds
	 */
	bool process_in_doubt;
	uint64_t accepting_us; /* when an answer resolved that doubt; 0: none did */
	lw_notice_limit_t announced_limit; /* rate limit from that self-announcement */
	lw_ratelimit_t ratelimit; /* enforces that rate limit */
	void (*on_notice_change)(void *ctx); /* called when the notice changed */
	void *on_notice_change_ctx;
	lw_waitq_t queue;
	size_t queued_bytes;
	lw_bconn_t *idle;
	uint32_t nidle;
	uint32_t ncalls; /* executing or queued */
	ev_timer expiry_timer; /* checks for expired requests; active while any are queued */
	ev_timer level_timer; /* updates the admission level; active while there is work */
	uint32_t idle_steps;
	lw_level_t level;
	lw_handback_t handback;
	const lw_retryallowance_t *retry_allowance;
	lw_retrylimit_t arrivals; /* requests that were sent to the backend server */
	struct lw_job *by_id; /* jobs by request id */
	lw_crash_t crash;
	lw_quarantine_t *quarantine;
	/*
	 * called when the backend server crashed while executing crash.suspects, before the sinks of
	 * these requests are notified
	 */
	void (*on_crash)(void *ctx, const lw_crash_t *crash);
	void *on_crash_ctx;
	lw_gate_stats_t stats;
} lw_gate_t;

/* What a nested call inherits from the request that makes it. */
typedef struct lw_gate_parent {
	uint32_t rank;
	bool repeat; /* the parent request is a retry */
	bool call_retried; /* a nested call of it was retried */
	uint64_t target_us; /* when the user request misses its latency objective */
} lw_gate_parent_t;

void lw_gate_init(lw_gate_t *g, lw_evloop_t *evloop, lw_quarantine_t *quarantine,
		  const lw_retryallowance_t *retry_allowance);
void lw_gate_set_server(lw_gate_t *g, const lw_place_host_t *server);
void lw_gate_set_mixed(lw_gate_t *g, const lw_fleetconf_t *fc, const char *service);
void lw_gate_set_leaving(lw_gate_t *g, bool leaving);
bool lw_gate_leaving(const lw_gate_t *g);
void lw_gate_on_notice(lw_gate_t *g, const lw_notice_fields_t *said, uint64_t sent_us);
void lw_gate_on_accepting(lw_gate_t *g, uint64_t sent_us);
void lw_gate_report_notice(const lw_gate_t *g, lw_notice_t *out);
lw_call_t *lw_gate_submit(lw_gate_t *g, lw_sink_t *sink, const lw_call_request_t *req,
			  lw_str_t body, bool fin, lw_fail_t *why, uint32_t *retry_after_ms);
uint64_t lw_gate_oldest_us(const lw_gate_t *g);
void lw_gate_stop_admitting(lw_gate_t *g);
uint32_t lw_gate_log_cut_off(const lw_gate_t *g);
void lw_gate_load(const lw_gate_t *g, lw_load_t *out);
bool lw_gate_parent(const lw_gate_t *g, lw_str_t id, lw_gate_parent_t *out);
void lw_gate_note_call(lw_gate_t *g, lw_str_t parent_id, const lw_load_t *load);
void lw_gate_note_failure(lw_gate_t *g, lw_str_t parent_id);
void lw_gate_note_retry(lw_gate_t *g, lw_str_t parent_id);

#endif
