/*
 * Causes for which a request is lost: it gets no complete answer of a backend server, or one
 * that says that the server failed. Nodes count them and log them by name; lwctl account adds
 * them up.
 */
#ifndef LW_LOSS_H
#define LW_LOSS_H

#include "call.h"

/* The values below LW_FAIL_COUNT are those of lw_fail_t: this node answered the request itself. */
typedef enum lw_loss {
	LW_LOSS_CUT = LW_FAIL_COUNT, /* its answer was truncated */
	LW_LOSS_SERVER_FAILED, /* a backend server answered with a 5xx status */
	LW_LOSS_LEFT, /* the caller disconnected before the end of the answer */
	LW_LOSS_NOT_IDENTIFIED, /* its API key is missing, unknown or ambiguous */
	LW_LOSS_NO_ROUTE, /* it matches no route; leaves no line */
	LW_LOSS_PROCESS_FAILED, /* a signal ended the process because of a fault in it */
	LW_LOSS_NO_CONFIG, /* the node had no configuration yet; leaves no line */
	LW_LOSS_CAUSES
} lw_loss_t;

const char *lw_loss_name(uint32_t cause);
uint32_t lw_loss_by_name(const char *name);
bool lw_loss_has_line(uint32_t cause);

#endif
