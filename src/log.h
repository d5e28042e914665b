/*
 * Numbered log events, written as syslog-style lines to standard error, or by a
 * writer thread to a descriptor (lwproxy: standard output):
 *   <PRI>Mon DD HH:MM:SS.mmm PROG[PID]: E<NNNN> <name> key=value ...
 * The table below is the source of docs/EVENTS.md.
 */
#ifndef LW_LOG_H
#define LW_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <syslog.h>

/* X(id, name, priority, description) */
#define LW_EVENTS(X)                                                                               \
	X(1000, started, LOG_INFO, "a process has started; the fields give its addresses")         \
	X(1001, stopping, LOG_NOTICE, "a process was asked to stop and is draining")               \
	X(1002, stopped, LOG_INFO, "a process has finished draining and exits")                    \
	X(1003, joined, LOG_NOTICE,                                                                \
	  "the node has compared its configuration with peers and takes requests")                 \
	X(1004, settings_reloaded, LOG_NOTICE,                                                     \
	  "SIGHUP: the terms of the settings were reloaded; all other settings need a restart")    \
	X(1005, log_dropped, LOG_WARNING,                                                          \
	  "lines about single requests were dropped to bound the volume; counters include them")   \
	X(1006, stop_step, LOG_INFO,                                                               \
	  "a stopping process takes its next step; the fields give the work still in progress")    \
	X(1007, node_summary, LOG_INFO,                                                            \
	  "what this node did since its start and holds now; lwfleet adds these up over a fleet")  \
	X(1008, loss_summary, LOG_INFO,                                                            \
	  "requests lost at this node since its start, by cause; lwctl account checks with them")  \
	X(1009, process_failed, LOG_CRIT,                                                          \
	  "a signal ends this process because of a fault in it; at is an offset for addr2line")    \
	X(1100, settings_invalid, LOG_ERR, "settings file rejected; the node does not start")      \
	X(1101, args_invalid, LOG_ERR, "command line rejected")                                    \
	X(1200, config_accepted, LOG_NOTICE, "a newer valid configuration is in force")            \
	X(1201, config_rejected, LOG_WARNING,                                                      \
	  "a configuration failed its checks; the last valid one stays in force")                  \
	X(1202, config_not_newer, LOG_INFO,                                                        \
	  "a configuration not newer than the one in force was ignored")                           \
	X(1203, config_unreachable, LOG_WARNING,                                                   \
	  "the configuration service did not answer; the last valid configuration stays in force") \
	X(1204, preset_changed, LOG_NOTICE, "the preset in force changed")                         \
	X(1205, config_from_peer, LOG_NOTICE, "a newer configuration was fetched from a peer")     \
	X(1206, store_back, LOG_NOTICE, "the configuration service answers again")                 \
	X(1207, store_history_lost, LOG_NOTICE,                                                    \
	  "the configuration service dropped its history; all entries are read again")             \
	X(1208, servers_changed, LOG_NOTICE, "the list of backend servers changed")                \
	X(1209, entry_rejected, LOG_WARNING,                                                       \
	  "an entry in the store is invalid and ignored: a field is missing or of the wrong type") \
	X(1210, lease_changed, LOG_NOTICE,                                                         \
	  "the state of the backend server's lease changed on its node; by gives the reason")      \
	X(1212, document_spoiled, LOG_WARNING,                                                     \
	  "a document from another node was corrupted; it is requested again")                     \
	X(1213, store_reading, LOG_INFO,                                                           \
	  "this node starts or stops reading the configuration service; why gives the reason")     \
	X(1214, list_not_newer, LOG_INFO,                                                          \
	  "a list of backend servers not newer than the one in use was ignored")                   \
	X(1215, store_restored, LOG_WARNING,                                                       \
	  "the configuration service was restored from an older copy; all entries are read again") \
	X(1216, entry_overruled, LOG_NOTICE,                                                       \
	  "an entry of a backend server has no effect, as the one in force overrules it")          \
	X(1217, entry_back, LOG_NOTICE,                                                            \
	  "a backend server whose entry was missing is in the server list again")                  \
	X(1218, entry_accepted, LOG_NOTICE,                                                        \
	  "an entry that was in doubt has remained: its backend server gets new requests")         \
	X(1219, entry_removed, LOG_INFO,                                                           \
	  "an entry is gone from the store; withdrawn: sooner than it can have expired")           \
	X(1211, server_vouched, LOG_NOTICE,                                                        \
	  "a node asserts that its backend server is alive although its entry has expired")        \
	X(1300, request_shed, LOG_INFO, "a request was refused at admission (not executed)")       \
	X(1301, deadline_rejected, LOG_INFO,                                                       \
	  "a request was refused because its deadline cannot be met")                              \
	X(1302, request_timeout, LOG_INFO,                                                         \
	  "a forwarded request got no answer in time (may have been executed)")                    \
	X(1303, late_reply_dropped, LOG_INFO,                                                      \
	  "a reply arrived after the caller had been answered and was dropped")                    \
	X(1304, retry, LOG_DEBUG, "a request is retried on another backend server")                \
	X(1305, retry_denied, LOG_INFO, "a retry was refused by the budget or the token bucket")   \
	X(1306, dedup_hit, LOG_INFO,                                                               \
	  "a request with a known idempotency key got the stored answer")                          \
	X(1307, queue_timeout, LOG_INFO,                                                           \
	  "a request exceeded the maximum wait in the queue (not executed)")                       \
	X(1308, request_ended, LOG_INFO,                                                           \
	  "this node answered a request itself; why gives the last failure")                       \
	X(1309, answer_cut, LOG_WARNING,                                                           \
	  "an answer failed after its start had been sent; the caller sees a truncated answer")    \
	X(1310, request_retried, LOG_INFO, "a request is sent to another backend server")          \
	X(1311, call_ended, LOG_INFO,                                                              \
	  "a call of the backend server on this host ended without an answer")                     \
	X(1312, path_busy, LOG_INFO,                                                               \
	  "a request is refused at its first node, as a service on its call path is overloaded")   \
	X(1313, request_held, LOG_NOTICE,                                                          \
	  "a request is refused, as backend servers crashed while executing it")                   \
	X(1314, not_identified, LOG_INFO,                                                          \
	  "a request is refused, as no organisation has the key it carries")                       \
	X(1315, over_limit, LOG_INFO,                                                              \
	  "a request is refused, as its organisation has reached its limit")                       \
	X(1316, quota_alone, LOG_NOTICE,                                                           \
	  "limits are enforced with this node's own part, or again with the quota coordinators")   \
	X(1317, request_lost, LOG_INFO,                                                            \
	  "a backend server answered with a 5xx status, or the caller left; why tells which")      \
	X(1318, request_cut_off, LOG_INFO,                                                         \
	  "the exit of this process interrupted a request that its backend server was executing")  \
	X(1319, request_interrupted, LOG_WARNING,                                                  \
	  "the failure of this process closed the connection of a request without an answer")      \
	X(1602, suspect_changed, LOG_NOTICE,                                                       \
	  "a request during which backend servers crashed is now isolated, refused or cleared")    \
	X(1400, peer_suspected, LOG_WARNING,                                                       \
	  "a peer failed repeatedly and gets no new requests for a while")                         \
	X(1401, peer_recovered, LOG_NOTICE, "a suspected peer answered again")                     \
	X(1402, peer_draining, LOG_NOTICE,                                                         \
	  "a peer reported that it is draining; it gets no new requests")                          \
	X(1403, conn_silent, LOG_WARNING,                                                          \
	  "a pooled connection stopped responding and was replaced")                               \
	X(1404, peer_address, LOG_WARNING,                                                         \
	  "a peer advertises an address other than the one in the host list; correct one of them") \
	X(1500, drain_started, LOG_NOTICE,                                                         \
	  "drain started: new requests are refused, requests in progress are completed")           \
	X(1501, drain_finished, LOG_NOTICE, "drain finished: no requests in progress")             \
	X(1405, node_lost, LOG_WARNING,                                                            \
	  "a node was unreachable or stopped responding; it gets no new requests for a while")     \
	X(1406, link_silent, LOG_WARNING,                                                          \
	  "nothing is received over a connection to a node although answers are due")              \
	X(1407, link_lost, LOG_WARNING,                                                            \
	  "a connection between nodes was lost with requests in progress")                         \
	X(1408, fate_asked, LOG_NOTICE,                                                            \
	  "a node is asked for the outcome of a lost connection's requests, over another one")     \
	X(1409, fate_told, LOG_NOTICE,                                                             \
	  "this node reported the outcome of the requests of a lost connection to a peer")         \
	X(1410, fate_heard, LOG_NOTICE,                                                            \
	  "a node reported the outcome of the requests of a lost connection")                      \
	X(1411, link_ended, LOG_NOTICE,                                                            \
	  "requests of a lost connection were answered, as no node could report their outcome")    \
	X(1600, backend_error, LOG_WARNING, "the local backend server could not be reached")       \
	X(1601, server_ended, LOG_WARNING,                                                         \
	  "the local backend server crashed with requests in progress; it accepts no connections") \
	X(1603, server_leaving, LOG_NOTICE,                                                        \
	  "a backend server announces in its answers that it is leaving; it gets no new requests") \
	X(1606, leaving_entry_changed, LOG_NOTICE,                                                 \
	  "the server list has another start time for a backend server that is leaving")           \
	X(1607, leaving_ended, LOG_NOTICE,                                                         \
	  "a backend server that was leaving has been restarted; it gets new requests again")      \
	X(1604, server_limit, LOG_NOTICE,                                                          \
	  "the local backend server announced or lifted a limit on requests/s from all hosts")     \
	X(1605, limit_invalid, LOG_WARNING,                                                        \
	  "the local backend server announced a limit that is no decimal number; it is ignored")   \
	X(1610, work_by_kind, LOG_NOTICE,                                                          \
	  "decisions about the local backend server start or stop using times by kind of work")    \
	X(1620, zone_plan, LOG_NOTICE,                                                             \
	  "requests of a service begin or cease to leave the zone of this node")                   \
	X(1630, fair_shares, LOG_NOTICE,                                                           \
	  "ranking of requests by fair shares among organisations begins or ceases")               \
	X(1640, request_returned, LOG_INFO,                                                        \
	  "a queued request was returned to its sender, as the backend server became slower")      \
	X(1650, buffers_held, LOG_WARNING,                                                         \
	  "bytes of all connections in the buffers pass a share of the memory, or fall below it")

typedef enum lw_event_id {
#define LW_EV_ENUM(id, name, pri, desc) LW_LOG_##name = id,
	LW_EVENTS(LW_EV_ENUM)
#undef LW_EV_ENUM
} lw_event_id_t;

/*
 * Default and largest configurable number of lines per second about single
 * requests. A line costs a few microseconds of CPU time including the writer, so
 * even the largest number stays below 1% of a core.
 */
#define LW_LOG_REQUEST_LINES	 40
#define LW_LOG_REQUEST_LINES_MAX 1000

void lw_log_limit(uint32_t request_lines_per_s);
bool lw_log_is_about_request(int id);
void lw_log_init(const char *prog, int max_priority);
void lw_log_start_writer(int fd);
void lw_log_flush(void);
uint64_t lw_log_dropped(void);
void lw_log_begin_emergency(void);
void lw_log_emergency(lw_event_id_t ev, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void lw_log(lw_event_id_t ev, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
int lw_log_level_parse(const char *name);
void lw_log_catalogue(void);

#endif
