/* Parts shared by all reducers: effect lists, names, and the factory. */
#include "policy.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/*
 * lw_effects_push() - append @fx to @out, which grows as needed: one tick
 * can expire a whole admission queue, so no fixed size is safe.
 */
void lw_effects_push(lw_effects_t *out, const lw_effect_t *fx)
{
	if (out->n == out->cap) {
		out->cap = out->cap ? out->cap * 2 : 8;
		out->fx = xrealloc(out->fx, out->cap * sizeof(*out->fx));
	}
	out->fx[out->n++] = *fx;
}

/* lw_effects_free() - free the memory of the list; @out is empty afterwards. */
void lw_effects_free(lw_effects_t *out)
{
	free(out->fx);
	memset(out, 0, sizeof(*out));
}

/* lw_effects_log() - append a LOG effect for event @log_id with fields @a, @b. */
void lw_effects_log(lw_effects_t *out, int log_id, int64_t a, int64_t b)
{
	lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_LOG, .log_id = log_id, .a = a, .b = b });
}

/* lw_outcome_name() - "done", "not_run" or "unknown". */
const char *lw_outcome_name(lw_outcome_t o)
{
	static const char *const names[] = { "done", "not_run", "unknown" };

	return (unsigned)o < 3 ? names[o] : "?";
}

/* lw_reason_name() - the name of @r on the wire. */
const char *lw_reason_name(lw_reason_t r)
{
	static const char *const names[LW_R_COUNT] = {
		"none",		"overloaded", "draining",      "deadline",
		"no_backend",	"in_flight",  "backend_error", "timeout",
		"not_received", "no_record",  "starting",
	};

	return (unsigned)r < LW_R_COUNT ? names[r] : "?";
}

/* lw_policy_new() - the reducer named @name ("guard" or "naive"), or NULL. */
lw_policy_t *lw_policy_new(const char *name, const char *zone, uint32_t slots, uint64_t seed)
{
	if (strcmp(name, "guard") == 0)
		return lw_guard_new(zone, slots, seed);
	if (strcmp(name, "naive") == 0)
		return lw_naive_new(zone, slots, seed);
	return NULL;
}
