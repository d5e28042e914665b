/*
 * Tracks the lease of the backend server on this host, whose entry in the store
 * can be missing although the server is running. lease.c decides; this file
 * gathers the evidence and acts on the decision.
 */
#include "log.h"
#include "proxy_int.h"

/* while the entry is missing, period of the checks of the evidence, in seconds */
#define STEP_S 0.1
/*
 * period of health checks of the server and of liveness assertions to other
 * nodes, us
 */
#define CHECK_INTERVAL_US 500000
/* how long this node keeps reading the store after the last step of lease_timer, us */
#define LEASE_READ_US 2500000

static lw_lease_evidence_t gather_evidence(const lw_proxy_t *p)
{
	lw_storereader_failure_t failed = lw_storereader_last_failure(&p->store_reader);

	return (lw_lease_evidence_t){
		.now_us = p->evloop.now_us,
		.store_read_us = lw_storereader_last_read_us(&p->store_reader),
		.store_failed_us = failed.at_us,
		.failed_in_row = failed.in_row,
		.pending = lw_storereader_call_overdue(&p->store_reader, LW_LEASE_PENDING_US),
		.healthy_us = p->probe.healthy_us,
		.leaving = p->probe.leaving || p->engine.gate.list_draining ||
			   p->engine.gate.notice.leaving,
	};
}

static void log_change(const lw_proxy_t *p, const lw_lease_evidence_t *ev)
{
	lw_storereader_failure_t failed = lw_storereader_last_failure(&p->store_reader);

	lw_log(LW_LOG_lease_changed,
	       "server=%s state=%s by=%s missing_ms=%llu read_ms=%llu failed_ms=%llu failed_call=%s failed_status=%d failed_in_row=%u pending=%d healthy_ms=%llu leaving=%d",
	       p->engine.gate.server_id, lw_lease_state_name(p->lease.state),
	       lw_lease_cause_name(p->lease.cause),
	       (unsigned long long)((ev->now_us - p->lease.lapsed_us) / 1000),
	       (unsigned long long)(ev->store_read_us ? (ev->now_us - ev->store_read_us) / 1000 :
							0),
	       (unsigned long long)(ev->store_failed_us ?
					    (ev->now_us - ev->store_failed_us) / 1000 :
					    0),
	       failed.call ? failed.call : "none", failed.status, failed.in_row, ev->pending,
	       (unsigned long long)(ev->healthy_us ? (ev->now_us - ev->healthy_us) / 1000 : 0),
	       ev->leaving);
}

/*
 * lw_proxy_health_path() - path of the health check of the backend server on this
 * host; empty if it has none.
 */
const char *lw_proxy_health_path(const lw_proxy_t *p)
{
	const lw_fleet_service_t *s =
		p->engine.conf ? lw_fleetconf_service(p->engine.conf, p->set->service) : NULL;

	return s ? s->health : "";
}

static void check_health(lw_proxy_t *p)
{
	lw_probe_check(&p->probe, lw_proxy_health_path(p));
}

/* This node reads the store itself as long as the entry is missing. */
static void read_store(lw_proxy_t *p)
{
	lw_proxy_read_store_for(p, LEASE_READ_US, LW_STOREREADER_LEASE);
}

/*
 * Asserts to the other nodes and to this node's own placement that the server is
 * alive.
 */
static void assert_liveness(lw_proxy_t *p, const lw_lease_evidence_t *ev)
{
	lw_place_assert_alive(&p->engine.place, p->mesh_addr, p->engine.gate.server_id, p->born_ms,
			      p->evloop.now_us);
	lw_mesh_assert_liveness(p->engine.mesh,
				&(lw_liveness_t){ .server = p->engine.gate.server_id,
						  .born_ms = p->born_ms,
						  .missing_us = p->lease.lapsed_us,
						  .read_us = ev->store_read_us });
	lw_mesh_broadcast_status(p->engine.mesh);
}

static void end_assertion(lw_proxy_t *p)
{
	lw_mesh_end_liveness(p->engine.mesh);
	lw_place_end_assertion(&p->engine.place, p->mesh_addr);
}

static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_lease_evidence_t ev = gather_evidence(p);
	bool changed = lw_lease_step(&p->lease, &ev);

	(void)revents;
	if (changed) {
		log_change(p, &ev);
		lw_gate_set_leaving(&p->engine.gate, !lw_lease_in_use(&p->lease));
	}
	if (p->lease.state == LW_LEASE_GONE && p->lease.server_left) {
		ev_timer_stop(loop, w);
		end_assertion(p);
		lw_mesh_broadcast_status(p->engine.mesh);
		return;
	}
	read_store(p);
	if (!changed && p->evloop.now_us - p->last_check_us < CHECK_INTERVAL_US)
		return;
	p->last_check_us = p->evloop.now_us;
	check_health(p);
	if (lw_lease_asserts_liveness(&p->lease, &ev))
		assert_liveness(p, &ev);
	else
		end_assertion(p);
}

/* the server left, no call to the store or the server is needed to find out */
static void on_left(lw_proxy_t *p)
{
	lw_lease_evidence_t ev = gather_evidence(p);

	log_change(p, &ev);
	lw_gate_set_leaving(&p->engine.gate, true);
	ev_timer_stop(p->evloop.loop, &p->lease_timer);
	end_assertion(p);
	lw_mesh_broadcast_status(p->engine.mesh);
}

/* gathers evidence of whether the entry expired */
static void investigate(lw_proxy_t *p)
{
	lw_probe_reset(&p->probe, p->engine.gate.server_id);
	p->last_check_us = p->evloop.now_us;
	check_health(p);
	read_store(p);
	lw_storereader_read_now(&p->store_reader);
	ev_timer_again(p->evloop.loop, &p->lease_timer);
}

/*
 * lw_proxy_lease_entry_missing() - the newest list @sl has no entry of the backend server on this
 * host.
 */
void lw_proxy_lease_entry_missing(lw_proxy_t *p, const lw_serverlist_t *sl)
{
	lw_lease_state_t before = p->lease.state;
	lw_lease_loss_t loss = { .now_us = p->evloop.now_us,
				 .store_read_us = lw_storereader_prior_read_us(&p->store_reader),
				 .expiry = lw_expiry(p->set->heartbeat_s) };

	loss.withdrawn = lw_withdrawn_has(sl->withdrawn, sl->nwithdrawn, p->engine.gate.server_id,
					  p->born_ms);
	lw_lease_entry_missing(&p->lease, &loss);
	if (p->lease.state == LW_LEASE_GONE && before != LW_LEASE_GONE)
		on_left(p);
	else if (before == LW_LEASE_HELD)
		investigate(p);
}

/*
 * lw_proxy_lease_entry_found() - the newest list has the entry of the backend
 * server on this host; its process started at @born_ms (Unix time in ms).
 */
void lw_proxy_lease_entry_found(lw_proxy_t *p, uint64_t born_ms)
{
	p->born_ms = born_ms;
	if (p->lease.state == LW_LEASE_HELD)
		return;
	lw_lease_entry_found(&p->lease);
	lw_log(LW_LOG_lease_changed, "server=%s state=held by=list", p->engine.gate.server_id);
	ev_timer_stop(p->evloop.loop, &p->lease_timer);
	lw_mesh_end_liveness(p->engine.mesh);
}

/* lw_proxy_lease_init() - the lease is held until the entry is missing from a list. */
void lw_proxy_lease_init(lw_proxy_t *p)
{
	lw_lease_entry_found(&p->lease);
	lw_probe_init(&p->probe, &p->evloop);
	p->probe.on_notice = lw_proxy_on_server_notice;
	p->probe.on_notice_ctx = p;
	ev_timer_init(&p->lease_timer, on_step, 0, STEP_S);
	p->lease_timer.data = p;
}
