/* Log lines on backend servers that begin or cease to leave; see leavinglog.h. */
#include "leavinglog.h"

#include "log.h"

/*
 * lw_leavinglog_host() - @change is what this node has just learned of the server of @h, from @by:
 * an answer that it passed on, or the node on the server's host.
 */
void lw_leavinglog_host(const lw_place_host_t *h, lw_leaving_change_t change, const char *by)
{
	unsigned long long born_ms = h->born_ms, seen_ms = h->leaving.seen_ms;

	if (change == LW_LEAVING_BEGAN)
		lw_log(LW_LOG_server_leaving, "server=%s by=%s born_ms=%llu seen_ms=%llu", h->id,
		       by, born_ms, seen_ms);
	else if (change == LW_LEAVING_ENDED)
		lw_log(LW_LOG_leaving_ended, "server=%s by=%s born_ms=%llu seen_ms=%llu", h->id, by,
		       born_ms, seen_ms);
}
