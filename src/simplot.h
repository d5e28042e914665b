/* Plot of a simulation run of lwsim as a PNG image. */
#ifndef LW_SIMPLOT_H
#define LW_SIMPLOT_H

#include "simfleet.h"

lw_status_t lw_sim_plot(const lw_sim_t *s, const char *path);

#endif
