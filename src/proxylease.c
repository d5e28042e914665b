/*
 * The proxy's view of the lease of its backend server: lease.c decides, here
 * the evidence is gathered and what follows is done.
 */
#include "log.h"
#include "proxy_int.h"

/* while the entry is missing, evidence is looked at so often, in seconds */
#define STEP_S 0.1
/* the server is asked, and other nodes are told, so often, us */
#define ROUND_US 500000
/* and the store is read on for so long after the last step, us */
#define LEASE_READ_US 2500000

static lw_lease_evidence_t evidence(const lw_proxy_t *p)
{
	return (lw_lease_evidence_t){
		.now_us = p->evloop.now_us,
		.read_us = lw_storereader_last_read_us(&p->store_reader),
		.failed_us = lw_storereader_last_failure_us(&p->store_reader),
		.pending = lw_storereader_call_overdue(&p->store_reader, LW_LEASE_PENDING_US),
		.healthy_us = p->probe.healthy_us,
		.leaving = p->probe.leaving || p->engine.gate.notice.leaving,
	};
}

static void log_change(const lw_proxy_t *p, const lw_lease_evidence_t *ev)
{
	lw_log(LW_LOG_lease_changed,
	       "server=%s state=%s by=%s missing_ms=%llu read_ms=%llu failed_ms=%llu healthy_ms=%llu leaving=%d",
	       p->engine.gate.server_id, lw_lease_state_name(p->lease.state),
	       lw_lease_cause_name(p->lease.cause),
	       (unsigned long long)((ev->now_us - p->lease.lapsed_us) / 1000),
	       (unsigned long long)(ev->read_us ? (ev->now_us - ev->read_us) / 1000 : 0),
	       (unsigned long long)(ev->failed_us ? (ev->now_us - ev->failed_us) / 1000 : 0),
	       (unsigned long long)(ev->healthy_us ? (ev->now_us - ev->healthy_us) / 1000 : 0),
	       ev->leaving);
}

/* lw_proxy_health_path() - where the backend server here answers health checks; may be empty. */
const char *lw_proxy_health_path(const lw_proxy_t *p)
{
	const lw_fleet_service_t *s =
		p->engine.conf ? lw_fleetconf_service(p->engine.conf, p->set->service) : NULL;

	return s ? s->health : "";
}

static void ask_server(lw_proxy_t *p)
{
	lw_probe_check(&p->probe, lw_proxy_health_path(p));
}

/* the store is read by this node itself as long as the entry is missing */
static void read_store(lw_proxy_t *p)
{
	lw_proxy_read_for(p, LEASE_READ_US, LW_STOREREADER_LEASE);
}

/* the other nodes, and this one's own placement, are told that the server lives */
static void vouch(lw_proxy_t *p)
{
	lw_place_vouched(&p->engine.place, p->mesh_addr, p->engine.gate.server_id, p->born_ms,
			 p->evloop.now_us);
	lw_mesh_set_lapsed_server(p->engine.mesh, p->engine.gate.server_id, p->born_ms);
	lw_mesh_broadcast_status(p->engine.mesh);
}

static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_lease_evidence_t ev = evidence(p);
	bool changed = lw_lease_step(&p->lease, &ev);

	(void)revents;
	if (changed) {
		log_change(p, &ev);
		lw_gate_set_leaving(&p->engine.gate, !lw_lease_in_use(&p->lease));
	}
	if (p->lease.state == LW_LEASE_GONE && p->lease.left) {
		ev_timer_stop(loop, w);
		lw_mesh_set_lapsed_server(p->engine.mesh, "", 0);
		lw_mesh_broadcast_status(p->engine.mesh);
		return;
	}
	read_store(p);
	if (!changed && p->evloop.now_us - p->round_us < ROUND_US)
		return;
	p->round_us = p->evloop.now_us;
	ask_server(p);
	if (lw_lease_vouches(&p->lease, &ev))
		vouch(p);
	else
		lw_mesh_set_lapsed_server(p->engine.mesh, "", 0);
}

/* lw_proxy_lease_missing() - the entry of the backend server here is not in the newest list. */
void lw_proxy_lease_missing(lw_proxy_t *p)
{
	if (p->lease.state != LW_LEASE_HELD)
		return;
	lw_lease_missing(&p->lease, p->evloop.now_us);
	lw_probe_reset(&p->probe, p->engine.gate.server_id);
	p->round_us = p->evloop.now_us;
	ask_server(p);
	read_store(p);
	lw_storereader_read_now(&p->store_reader);
	ev_timer_again(p->evloop.loop, &p->lease_step);
}

/* lw_proxy_lease_found() - it is in the list, as the process that started at @born_ms. */
void lw_proxy_lease_found(lw_proxy_t *p, uint64_t born_ms)
{
	p->born_ms = born_ms;
	if (p->lease.state == LW_LEASE_HELD)
		return;
	lw_lease_found(&p->lease);
	lw_log(LW_LOG_lease_changed, "server=%s state=held by=list", p->engine.gate.server_id);
	ev_timer_stop(p->evloop.loop, &p->lease_step);
	lw_mesh_set_lapsed_server(p->engine.mesh, "", 0);
}

/* lw_proxy_lease_init() - the lease is held until the list says otherwise. */
void lw_proxy_lease_init(lw_proxy_t *p)
{
	lw_lease_found(&p->lease);
	lw_probe_init(&p->probe, &p->evloop);
	p->probe.heard = lw_proxy_heard;
	p->probe.heard_ctx = p;
	ev_timer_init(&p->lease_step, on_step, 0, STEP_S);
	p->lease_step.data = p;
}
