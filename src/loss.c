/* Names of the causes of lost requests; see loss.h. */
#include "loss.h"

#include <string.h>

static const char *const names[LW_LOSS_CAUSES] = {
	[LW_LOSS_CUT] = "cut",
	[LW_LOSS_SERVER_FAILED] = "server_failed",
	[LW_LOSS_LEFT] = "left",
	[LW_LOSS_NOT_IDENTIFIED] = "not_identified",
	[LW_LOSS_NO_ROUTE] = "no_route",
	[LW_LOSS_NO_CONFIG] = "no_config",
	[LW_LOSS_PROCESS_FAILED] = "process_failed",
};

/* lw_loss_name() - name of @cause in log lines. */
const char *lw_loss_name(uint32_t cause)
{
	if (cause < LW_FAIL_COUNT)
		return lw_fail_name((lw_fail_t)cause);
	return cause < LW_LOSS_CAUSES ? names[cause] : "invalid";
}

/* lw_loss_by_name() - the cause with the name @name; LW_LOSS_CAUSES if there is none. */
uint32_t lw_loss_by_name(const char *name)
{
	uint32_t cause = 0;

	while (cause < LW_LOSS_CAUSES && strcmp(lw_loss_name(cause), name) != 0)
		cause++;
	return cause;
}

/* lw_loss_has_line() - whether a request lost for @cause leaves a line in the log. */
bool lw_loss_has_line(uint32_t cause)
{
	return cause != LW_LOSS_NO_ROUTE && cause != LW_LOSS_NO_CONFIG;
}
