/* A picture of a run of lwsim. */
#ifndef LW_SIMPLOT_H
#define LW_SIMPLOT_H

#include "simfleet.h"

lw_status_t lw_sim_plot(const lw_sim_t *s, const char *path);

#endif
