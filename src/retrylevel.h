/*
 * The second admission level of a backend server: which requests the retry
 * budget can carry through while it sheds. Load pattern: a leaf turns half of
 * its calls away at random, and each request makes several: it needs repeats
 * nearly always, and the budget for them is small. Let in all the same, most
 * requests are lost after everything above the leaf has worked for them, and
 * the repeats spent on them are missing where they would have helped. So only
 * as many are let in where requests begin as can be carried through whole.
 *
 * It binds requests whose calls come here. One that comes here directly has
 * not cost anything when it is shed, and its caller may come back. No I/O.
 */
#ifndef LW_RETRYLEVEL_H
#define LW_RETRYLEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "level.h"
#include "retrylimit.h"

/* Steps of LW_LEVEL_STEP_MS that are kept: a window and the one before. */
#define LW_RETRYLEVEL_KEPT 200

typedef struct lw_retrylevel {
	uint32_t level;
	double shed; /* moving average: part of what is sent that is shed */
	uint32_t sent_now; /* in this step */
	uint32_t first_now; /* of these, not repeats */
	uint32_t shed_now;
	uint16_t first[LW_RETRYLEVEL_KEPT]; /* by step */
	uint32_t steps; /* done so far */
} lw_retrylevel_t;

void lw_retrylevel_init(lw_retrylevel_t *r);
void lw_retrylevel_sent(lw_retrylevel_t *r, bool repeat);
void lw_retrylevel_shed(lw_retrylevel_t *r);
void lw_retrylevel_step(lw_retrylevel_t *r, const lw_level_t *arrivals,
			const lw_retryterms_t *terms);

#endif
