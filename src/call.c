/* Names and classification of failed calls; see call.h. */
#include "call.h"

/*
 * lw_fail_not_executed() - true if no backend server has executed or will execute the request.
 * Only then may the caller be told that it was not executed.
 */
bool lw_fail_not_executed(lw_fail_t why)
{
	return (why > LW_FAIL_NONE && why < LW_FAIL_BROKEN) || why >= LW_FAIL_HELD;
}

/* lw_fail_reached_server() - true if the request was sent to a backend server. */
bool lw_fail_reached_server(lw_fail_t why)
{
	return why >= LW_FAIL_SHED && why < LW_FAIL_HELD;
}

/* lw_fail_name() - name of the failure in log lines and counters. */
const char *lw_fail_name(lw_fail_t why)
{
	static const char *const names[LW_FAIL_COUNT] = {
		"none", "path_busy",   "busy",	 "leaving", "expired", "no_server",  "unsent",
		"shed", "misdirected", "broken", "timeout", "held",    "over_limit", "returned",
	};

	return why < LW_FAIL_COUNT ? names[why] : "invalid";
}
