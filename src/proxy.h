/* The proxy process: sets up the event loop and its modules, runs and stops them. */
#ifndef LW_PROXY_H
#define LW_PROXY_H

#include "storereader.h"
#include "proxyset.h"
#include "status.h"

void lw_proxy_mask_signals(int how);
lw_status_t lw_proxy_run(lw_proxy_settings_t *set, const char *path, const lw_platform_t *platform);

#endif
