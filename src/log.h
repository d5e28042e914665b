/*
 * Numbered log events, written as syslog-style lines to standard error, or
 * by a thread of its own to a descriptor (lwproxy: standard output):
 *   <PRI>Mon DD HH:MM:SS PROG[PID]: E<NNNN> <name> key=value ...
 * The catalogue below is the source of docs/EVENTS.md.
 */
#ifndef LW_LOG_H
#define LW_LOG_H

#include <stdint.h>
#include <syslog.h>

/* X(id, name, priority, description) */
#define LW_EVENTS(X)                                                                               \
	X(1000, started, LOG_INFO, "a process started; fields give its addresses")                 \
	X(1001, stopping, LOG_NOTICE, "a process was asked to stop and is draining")               \
	X(1002, stopped, LOG_INFO, "a process finished draining and exits")                        \
	X(1003, joined, LOG_NOTICE,                                                                \
	  "the node has compared its configuration with peers and takes requests")                 \
	X(1004, settings_reloaded, LOG_NOTICE,                                                     \
	  "SIGHUP: the terms of the settings were read again; the rest needs a restart")           \
	X(1005, log_dropped, LOG_WARNING,                                                          \
	  "request lines were left out to bound the volume; counters have them all")               \
	X(1006, stop_step, LOG_INFO,                                                               \
	  "a stopping process takes its next step; fields say what is still under way")            \
	X(1100, settings_invalid, LOG_ERR, "settings file rejected; the node does not start")      \
	X(1101, args_invalid, LOG_ERR, "command line rejected")                                    \
	X(1200, config_accepted, LOG_NOTICE, "a newer valid configuration is in force")            \
	X(1201, config_rejected, LOG_WARNING,                                                      \
	  "a configuration failed its checks; the last good one stays")                            \
	X(1202, config_not_newer, LOG_INFO,                                                        \
	  "a configuration not newer than the one in force was ignored")                           \
	X(1203, config_unreachable, LOG_WARNING,                                                   \
	  "the configuration service did not answer; the last good configuration stays")           \
	X(1204, preset_changed, LOG_NOTICE, "the preset in force changed")                         \
	X(1205, config_from_peer, LOG_NOTICE, "a newer configuration was fetched from a peer")     \
	X(1206, store_back, LOG_NOTICE, "the configuration service answers again")                 \
	X(1207, store_history_lost, LOG_NOTICE,                                                    \
	  "the configuration service dropped its history; everything is read anew")                \
	X(1208, servers_changed, LOG_NOTICE, "the list of backend servers changed")                \
	X(1209, entry_rejected, LOG_WARNING,                                                       \
	  "an entry in the store names no server: a field is missing or of another type")          \
	X(1210, lease_changed, LOG_NOTICE,                                                         \
	  "what this node knows of its backend server's entry changed, and why")                   \
	X(1212, document_spoiled, LOG_WARNING,                                                     \
	  "a document from another node was not what it should be; it is asked for anew")          \
	X(1213, store_reading, LOG_INFO,                                                           \
	  "this node begins or ends to read the configuration service itself, and why")            \
	X(1214, list_not_newer, LOG_INFO,                                                          \
	  "a list of backend servers not newer than the one in use was ignored")                   \
	X(1215, store_restored, LOG_WARNING,                                                       \
	  "the configuration service came back from an older copy; everything is read anew")       \
	X(1211, server_vouched, LOG_NOTICE,                                                        \
	  "a node says that its backend server lives although its entry lapsed")                   \
	X(1300, request_shed, LOG_INFO, "a request was refused at admission (not run)")            \
	X(1301, deadline_rejected, LOG_INFO,                                                       \
	  "a request was refused because its deadline cannot be met")                              \
	X(1302, request_timeout, LOG_INFO, "a forwarded request got no answer in time (unknown)")  \
	X(1303, late_reply_dropped, LOG_INFO,                                                      \
	  "a reply came after its caller was answered and was dropped")                            \
	X(1304, retry, LOG_DEBUG, "a request is sent again to another backend")                    \
	X(1305, retry_denied, LOG_INFO, "a retry was refused by the budget or the token bucket")   \
	X(1306, dedup_hit, LOG_INFO, "a repeated idempotency key got the stored answer")           \
	X(1307, queue_timeout, LOG_INFO, "a queued request waited past the queue bound (not run)") \
	X(1308, request_ended, LOG_INFO,                                                           \
	  "a request ended with an answer of this node; why says what failed last")                \
	X(1309, answer_cut, LOG_WARNING,                                                           \
	  "an answer that had begun could not be completed; the caller sees a cut connection")     \
	X(1310, request_retried, LOG_INFO, "a request is given to another backend server")         \
	X(1311, call_ended, LOG_INFO,                                                              \
	  "a call of the backend server on this host ended without an answer")                     \
	X(1312, path_busy, LOG_INFO,                                                               \
	  "a request is refused where it begins, as a service its work leads to is full")          \
	X(1313, request_held, LOG_NOTICE,                                                          \
	  "a request is refused, as backend servers ended while they ran it")                      \
	X(1314, not_identified, LOG_INFO,                                                          \
	  "a request is not taken, as no organisation holds the key it carries")                   \
	X(1315, over_limit, LOG_INFO, "a request is refused, as its organisation is at its limit") \
	X(1316, quota_alone, LOG_NOTICE,                                                           \
	  "limits are kept by this node's own part of them, or with the keepers again")            \
	X(1602, suspect_changed, LOG_NOTICE,                                                       \
	  "requests under which backend servers ended are tried alone, held or cleared")           \
	X(1400, peer_suspected, LOG_WARNING,                                                       \
	  "a peer failed repeatedly and gets no new work for a while")                             \
	X(1401, peer_recovered, LOG_NOTICE, "a suspected peer answered again")                     \
	X(1402, peer_draining, LOG_NOTICE, "a peer said it is draining; it gets no new work")      \
	X(1403, conn_silent, LOG_WARNING,                                                          \
	  "a pooled connection stopped answering and was replaced")                                \
	X(1404, peer_address, LOG_WARNING,                                                         \
	  "a peer advertises another address than the host list; correct one of them")             \
	X(1500, drain_started, LOG_NOTICE,                                                         \
	  "drain began: new work refused, in-flight work finishes")                                \
	X(1501, drain_finished, LOG_NOTICE, "drain finished: nothing in flight")                   \
	X(1405, node_lost, LOG_WARNING,                                                            \
	  "a node could not be reached or went silent; it gets no new work for a while")           \
	X(1406, link_silent, LOG_WARNING,                                                          \
	  "nothing comes over a connection to a node although answers are due")                    \
	X(1407, link_lost, LOG_WARNING, "a connection between nodes was lost with requests on it") \
	X(1408, fate_asked, LOG_NOTICE,                                                            \
	  "a node is asked, over another connection, what became of a connection's requests")      \
	X(1409, fate_told, LOG_NOTICE, "this node told a peer what became of such requests")       \
	X(1410, fate_heard, LOG_NOTICE, "a node told what became of such requests")                \
	X(1411, link_ended, LOG_NOTICE,                                                            \
	  "requests of a lost connection got their outcome, as nobody knew more of them")          \
	X(1600, backend_error, LOG_WARNING, "the local backend server could not be reached")       \
	X(1601, server_ended, LOG_WARNING,                                                         \
	  "the local backend server ended with requests in hand, and takes no connection")         \
	X(1603, server_leaving, LOG_NOTICE,                                                        \
	  "a backend server says in its answers that it leaves; it gets no new work from here")    \
	X(1604, server_limit, LOG_NOTICE,                                                          \
	  "the local backend server takes so many requests a second from all hosts, or any")       \
	X(1605, limit_invalid, LOG_WARNING,                                                        \
	  "the local backend server names a limit that is no decimal number; it counts as none")

typedef enum lw_event_id {
#define LW_EV_ENUM(id, name, pri, desc) LW_LOG_##name = id,
	LW_EVENTS(LW_EV_ENUM)
#undef LW_EV_ENUM
} lw_event_id_t;

/*
 * Lines about single requests a second unless the settings say otherwise, and
 * the most they may say: a line costs 2.3 us of processor, writer included
 * (mean of 200,000), so that is 0.23% of a core.
 */
#define LW_LOG_REQUEST_LINES	 40
#define LW_LOG_REQUEST_LINES_MAX 1000

void lw_log_limit(uint32_t request_lines_per_s);
void lw_log_init(const char *prog, int max_priority);
void lw_log_start_writer(int fd);
void lw_log_flush(void);
uint64_t lw_log_dropped(void);
void lw_log(lw_event_id_t ev, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
int lw_log_level_parse(const char *name);
void lw_log_catalogue(void);

#endif
