/* Log lines on backend servers that begin or cease to leave, as this node learns it. */
#ifndef LW_LEAVINGLOG_H
#define LW_LEAVINGLOG_H

#include "place.h"

void lw_leavinglog_host(const lw_place_host_t *h, lw_leaving_change_t change, const char *by);

#endif
