/* Status codes and the message of the last error, per thread. */
#include "status.h"

#include <stdarg.h>
#include <stdio.h>

static __thread char last_msg[512];

/*
 * lw_error() - records an error of @kind with a message that names the remedy.
 * Returns @kind, so that callers can write "return lw_error(...)".
 */
lw_status_t lw_error(lw_status_t kind, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_msg, sizeof(last_msg), fmt, ap);
	va_end(ap);
	return kind;
}

/* lw_error_last() - the message of the last lw_error() in this thread. */
const char *lw_error_last(void)
{
	return last_msg;
}

/* lw_status_name() - short, stable name of @st for logs. */
const char *lw_status_name(lw_status_t st)
{
	switch (st) {
	case LW_OK:
		return "ok";
	case LW_ERR_ARGS:
		return "bad_arguments";
	case LW_ERR_SETTINGS:
		return "bad_settings";
	case LW_ERR_CONFIG:
		return "bad_config";
	case LW_ERR_IO:
		return "io_error";
	case LW_ERR_TIMEOUT:
		return "timeout";
	case LW_ERR_PROTO:
		return "protocol_error";
	case LW_ERR_STALE:
		return "stale_config";
	}
	return "unknown";
}
