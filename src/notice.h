/*
 * What a backend server announces of itself in the heads of its answers, beside
 * its entry in the store. No I/O and no clock.
 */
#ifndef LW_NOTICE_H
#define LW_NOTICE_H

#include <stdbool.h>

#include "lwstr.h"
#include "wirenames.h"

/* What one answer says. */
typedef struct lw_notice_said {
	bool leaving;
} lw_notice_said_t;

void lw_notice_field(lw_notice_said_t *said, lw_header_t meaning, lw_str_t value);

#endif
