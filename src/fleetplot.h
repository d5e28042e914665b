/* Plot of how many processes have each configuration in force, over time, as a PNG image. */
#ifndef LW_FLEETPLOT_H
#define LW_FLEETPLOT_H

#include "fleetlog.h"
#include "status.h"

lw_status_t lw_fleet_plot(const lw_fleetlog_t *f, const char *path);

#endif
