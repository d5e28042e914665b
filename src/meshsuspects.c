/*
 * Dissemination of requests during which backend servers crashed. The node of a crashed
 * server reports them to the nodes that send it requests. A node whose treatment of a
 * request changes because of a report forwards it to a few more nodes, so that the report
 * also reaches nodes without a direct connection.
 */
#include "mesh_int.h"

/* number of randomly chosen nodes to which a new report is forwarded */
#define FORWARD_NODES 3
/* maximum number of requests sent on a new connection or read from one frame */
#define SUSPECTS_MAX 64
/*
 * limits for values read from a frame, which may be arbitrary: more trials than any node
 * counts, and the longest hold in ms
 */
#define TRIALS_MAX  100
#define HELD_MAX_MS 3600000

typedef struct suspect_frame {
	Lw__Suspect wire[SUSPECTS_MAX];
	Lw__Suspect *list[SUSPECTS_MAX];
} suspect_frame_t;

static uint32_t age_ms(uint64_t at_us, uint64_t now_us)
{
	return at_us ? (uint32_t)((now_us - at_us) / 1000) + 1 : 0;
}

static uint64_t time_from_age(uint32_t age_ms, uint64_t now_us)
{
	uint64_t age_us = age_ms ? (uint64_t)(age_ms - 1) * 1000 : 0;

	return age_ms && age_us < now_us ? now_us - age_us : 0;
}

static void encode_suspect(Lw__Suspect *out, const lw_suspect_t *s, uint64_t now_us)
{
	lw__suspect__init(out);
	out->head = s->print.head;
	out->whole = s->print.whole;
	out->n_ends = s->ncrashes;
	out->ends = (uint64_t *)(uintptr_t)s->crashed_process;
	out->trials = s->trials;
	out->ended_age_ms = age_ms(s->last_crash_us, now_us);
	out->cleared_age_ms = age_ms(s->cleared_us, now_us);
	if (s->held_until_us > now_us)
		out->held_ms = (uint32_t)((s->held_until_us - now_us) / 1000);
}

static lw_suspect_t decode_suspect(const Lw__Suspect *in, uint64_t now_us)
{
	uint32_t held_ms = in->held_ms < HELD_MAX_MS ? in->held_ms : HELD_MAX_MS;
	lw_suspect_t s = {
		.print = { in->head, in->whole },
		.trials = in->trials < TRIALS_MAX ? in->trials : TRIALS_MAX,
		.last_crash_us = time_from_age(in->ended_age_ms, now_us),
		.cleared_us = time_from_age(in->cleared_age_ms, now_us),
		.held_until_us = held_ms ? now_us + (uint64_t)held_ms * 1000 : 0,
	};

	while (s.ncrashes < in->n_ends && s.ncrashes < LW_SUSPECT_CRASHES_MAX) {
		s.crashed_process[s.ncrashes] = in->ends[s.ncrashes];
		s.ncrashes++;
	}
	return s;
}

static void send_suspects(lw_link_t *l, const lw_suspect_t *const *suspects, size_t n)
{
	suspect_frame_t frame;
	Lw__Suspects w = LW__SUSPECTS__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	for (size_t i = 0; i < n; i++) {
		encode_suspect(&frame.wire[i], suspects[i], l->mesh->evloop->now_us);
		frame.list[i] = &frame.wire[i];
	}
	w.n_suspects = n;
	w.suspects = frame.list;
	f.body_case = LW__MESH_FRAME__BODY_SUSPECTS;
	f.suspects = &w;
	lw_link_send(l, &f);
}

/*
 * lw_mesh_send_known_suspects() - sends the known suspect requests to a peer that may just
 * have started.
 */
void lw_mesh_send_known_suspects(lw_link_t *l)
{
	const lw_suspect_t *list[SUSPECTS_MAX];
	size_t n = l->mesh->ops->known_suspects(l->mesh->ctx, list, SUSPECTS_MAX);

	if (n)
		send_suspects(l, list, n);
}

/*
 * lw_mesh_broadcast_suspect() - sends what is known of a suspect request to all connected
 * nodes.
 */
void lw_mesh_broadcast_suspect(lw_mesh_t *m, const lw_suspect_t *s)
{
	for (lw_link_t *l = m->links; l; l = l->next)
		if (lw_link_usable(l))
			send_suspects(l, &s, 1);
}

/*
 * lw_mesh_report_crash() - reports that @process of the local backend server crashed while
 * it executed the @n requests @prints. The report goes over the connections by which the
 * requests came, so that it arrives before their outcomes.
 */
void lw_mesh_report_crash(lw_mesh_t *m, uint64_t process, const lw_fingerprint_t *prints, size_t n)
{
	uint64_t heads[LW_CRASH_SUSPECTS_MAX], wholes[LW_CRASH_SUSPECTS_MAX];
	Lw__ServerEnded e = LW__SERVER_ENDED__INIT;
	Lw__Suspects w = LW__SUSPECTS__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	for (size_t i = 0; i < n; i++) {
		heads[i] = prints[i].head;
		wholes[i] = prints[i].whole;
	}
	e.process = process;
	e.n_heads = n;
	e.heads = heads;
	e.n_wholes = n;
	e.wholes = wholes;
	w.ended = &e;
	f.body_case = LW__MESH_FRAME__BODY_SUSPECTS;
	f.suspects = &w;
	for (lw_link_t *l = m->links; l; l = l->next)
		if (!l->outgoing && lw_link_usable(l))
			lw_link_send(l, &f);
}

static void send_suspect(lw_link_t *l, const void *ctx)
{
	const lw_suspect_t *s = ctx;

	send_suspects(l, &s, 1);
}

static void apply_suspect(lw_mesh_t *m, const lw_suspect_t *report)
{
	const lw_suspect_t *to_forward = m->ops->suspect_received(m->ctx, report);

	if (to_forward)
		lw_mesh_each_random(m, FORWARD_NODES, send_suspect, to_forward);
}

static void apply_crash(lw_mesh_t *m, const Lw__ServerEnded *w)
{
	lw_suspect_t s = { .crashed_process = { w->process },
			   .ncrashes = 1,
			   .last_crash_us = m->evloop->now_us };

	for (size_t i = 0; i < w->n_heads && i < w->n_wholes && i < LW_CRASH_SUSPECTS_MAX; i++) {
		s.print = (lw_fingerprint_t){ w->heads[i], w->wholes[i] };
		apply_suspect(m, &s);
	}
}

/* lw_mesh_on_suspects() - another node reports requests during which servers crashed. */
void lw_mesh_on_suspects(lw_link_t *l, const Lw__Suspects *w)
{
	lw_mesh_t *m = l->mesh;

	if (w->ended)
		apply_crash(m, w->ended);
	for (size_t i = 0; i < w->n_suspects && i < SUSPECTS_MAX; i++) {
		lw_suspect_t s = decode_suspect(w->suspects[i], m->evloop->now_us);

		apply_suspect(m, &s);
	}
}
