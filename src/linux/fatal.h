/*
 * Signals that end the process because of a fault in it: invalid memory access, division by zero,
 * abort(). Without a line of its own such an end looks like that of a killed process.
 */
#ifndef LW_LINUX_FATAL_H
#define LW_LINUX_FATAL_H

/* Logs what ends with the process; runs in the signal handler, on the thread that installed it. */
typedef void (*lw_fatal_report_fn)(void *ctx);

void lw_fatal_install(lw_fatal_report_fn report, void *ctx);

#endif
