/* Names and classes of failed calls; see call.h. */
#include "call.h"

/*
 * lw_fail_not_run() - true where no backend server has run the request or
 * ever will: only then may the caller be told so.
 */
bool lw_fail_not_executed(lw_fail_t why)
{
	return (why > LW_FAIL_NONE && why < LW_FAIL_BROKEN) || why >= LW_FAIL_HELD;
}

/* lw_fail_reached_server() - true where a backend server was given it. */
bool lw_fail_reached_server(lw_fail_t why)
{
	return why >= LW_FAIL_SHED && why < LW_FAIL_HELD;
}

/* lw_fail_name() - the name used in log lines and counters. */
const char *lw_fail_name(lw_fail_t why)
{
	static const char *const names[LW_FAIL_COUNT] = {
		"none", "path_busy",   "busy",	 "leaving", "expired", "no_server",  "unsent",
		"shed", "misdirected", "broken", "timeout", "held",    "over_limit",
	};

	return why < LW_FAIL_COUNT ? names[why] : "invalid";
}
