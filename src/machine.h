/*
 * Speed of the machine of a backend server, as the server reports it in its answers. Load pattern:
 * a machine slows down for less than a second at a time, long before the average execution time of
 * its server shows it. No I/O; the caller passes the time.
 */
#ifndef LW_MACHINE_H
#define LW_MACHINE_H

#include <stdbool.h>
#include <stdint.h>

/* A machine usually stays slow for this time; an older report does not tell its speed now, us. */
#define LW_MACHINE_STALE_US 600000

typedef struct lw_machine {
	uint32_t percent; /* how long work takes there, 100: as usual; 0: unknown */
	uint64_t reported_us;
} lw_machine_t;

bool lw_machine_valid(uint32_t percent);
bool lw_machine_learn(lw_machine_t *m, const char *text, uint64_t now_us);
uint32_t lw_machine_percent(const lw_machine_t *m, uint64_t now_us);

#endif
