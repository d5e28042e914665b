/*
 * Reports a crash of the backend server on this host to the quarantine and to the
 * other nodes, so that a request that crashes servers is not sent to the whole
 * fleet; quarantine.c decides.
 */
#include "log.h"
#include "proxy_int.h"

static void log_change(const lw_suspect_t *s, uint64_t now_us, const char *by)
{
	lw_log(LW_LOG_suspect_changed, "print=%016llx ends=%u trials=%u held_ms=%llu by=%s",
	       (unsigned long long)s->print.whole, s->ncrashes, s->trials,
	       (unsigned long long)(s->held_until_us > now_us ? (s->held_until_us - now_us) / 1000 :
								0),
	       by);
}

static void on_server_crashed(void *ctx, const lw_crash_t *crash)
{
	lw_proxy_t *p = ctx;
	lw_fingerprint_t prints[LW_CRASH_SUSPECTS_MAX];
	uint64_t process =
		lw_place_process(p->engine.gate.server_id, p->engine.gate.server_born_ms);

	for (uint32_t i = 0; i < crash->nsuspects; i++)
		prints[i] = crash->suspects[i].print;
	lw_mesh_report_crash(p->engine.mesh, process, prints, crash->nsuspects);
	for (uint32_t i = 0; i < crash->nsuspects; i++) {
		const lw_suspect_t *s = lw_quarantine_server_crashed(
			p->engine.quarantine, &prints[i], process, crash->suspects[i].tried_alone,
			p->evloop.now_us);

		if (!lw_suspect_is_restricted(s))
			continue;
		log_change(s, p->evloop.now_us, "end");
		lw_mesh_broadcast_suspect(p->engine.mesh, s);
	}
}

/*
 * lw_proxy_merge_suspect() - merges the report @told of another node about a
 * suspect request; returns the entry that must be sent to the other nodes now, or
 * NULL.
 */
const lw_suspect_t *lw_proxy_merge_suspect(void *ctx, const lw_suspect_t *told)
{
	lw_proxy_t *p = ctx;
	const lw_suspect_t *s = lw_quarantine_merge(p->engine.quarantine, told, p->evloop.now_us);

	if (s)
		log_change(s, p->evloop.now_us, "peer");
	return s;
}

/*
 * lw_proxy_list_suspects() - lists up to @most suspect requests for a node that
 * has just started; returns their number.
 */
size_t lw_proxy_list_suspects(void *ctx, const lw_suspect_t **out, size_t most)
{
	const lw_proxy_t *p = ctx;

	return lw_quarantine_list(p->engine.quarantine, out, most);
}

static void on_tick(void *ctx)
{
	lw_proxy_t *p = ctx;

	lw_quarantine_expire(p->engine.quarantine, p->evloop.now_us);
}

/* lw_proxy_crash_init() - call after the gate has been initialised. */
void lw_proxy_crash_init(lw_proxy_t *p)
{
	p->engine.gate.on_crash = on_server_crashed;
	p->engine.gate.on_crash_ctx = p;
	lw_evloop_on_tick(&p->evloop, on_tick, p);
}
