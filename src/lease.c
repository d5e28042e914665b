/* Lease state of the backend server on this host; see lease.h. */
#include "lease.h"

/*
 * Longest wait for evidence that the store is unreachable: a failing call shows after
 * LW_LEASE_PENDING_US and the server answers in milliseconds, us.
 */
#define EVIDENCE_WAIT_US 1200000
/*
 * How long a report that the server is healthy counts: the server is queried twice a
 * second, and two missed answers are tolerated, us.
 */
#define HEALTH_VALID_US 1600000
/*
 * A failed call to the store counts if it came at most this long before the entry was
 * missed, us.
 */
#define FAILURE_LOOKBACK_US 2000000
/*
 * A live server re-registers within about two seconds of reaching the store. A server that
 * left in the meantime must get no more work by then, us.
 */
#define REREGISTER_US 1800000
/*
 * If the store is read again within EVIDENCE_WAIT_US after the entry was missed, the entry
 * may equally be that of a server that left. Unless the server re-registers, it then counts
 * as gone this long after its entry was missed: the store update takes 0.75 s to arrive, and
 * this is what remains of the drain time, us.
 */
#define SHORT_OUTAGE_US 1000000

static bool set_state(lw_lease_t *l, lw_lease_state_t state, lw_lease_cause_t cause)
{
	l->state = state;
	l->cause = cause;
	return true;
}

/* lw_lease_entry_found() - the entry is in the newest server list. */
void lw_lease_entry_found(lw_lease_t *l)
{
	*l = (lw_lease_t){ .state = LW_LEASE_HELD, .cause = LW_LEASE_CAUSE_LIST };
}

/*
 * lw_lease_entry_missing() - the entry was in the previous server list and is not in the
 * newest one.
 */
void lw_lease_entry_missing(lw_lease_t *l, uint64_t now_us)
{
	if (l->state != LW_LEASE_HELD)
		return;
	l->lapsed_us = now_us;
	l->server_left = false;
	set_state(l, LW_LEASE_LAPSED, LW_LEASE_CAUSE_LIST);
}

static bool store_failed_recently(const lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	return ev->store_failed_us && ev->store_failed_us + FAILURE_LOOKBACK_US > l->lapsed_us;
}

/* the last call to the store failed recently, or is about to fail */
static bool store_unreachable(const lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	return ev->pending ||
	       (ev->store_failed_us > ev->store_read_us && store_failed_recently(l, ev));
}

static bool server_is_healthy(const lw_lease_evidence_t *ev)
{
	return ev->healthy_us && ev->now_us - ev->healthy_us < HEALTH_VALID_US;
}

static bool set_gone(lw_lease_t *l, lw_lease_cause_t cause)
{
	l->server_left = cause != LW_LEASE_CAUSE_TIME;
	return set_state(l, LW_LEASE_GONE, cause);
}

static bool step_lapsed(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (ev->store_read_us > l->lapsed_us)
		return set_gone(l, LW_LEASE_CAUSE_STORE);
	if (store_unreachable(l, ev) && server_is_healthy(ev))
		return set_state(l, LW_LEASE_CUT, LW_LEASE_CAUSE_STORE);
	if (ev->now_us - l->lapsed_us > EVIDENCE_WAIT_US)
		return set_gone(l, LW_LEASE_CAUSE_TIME);
	return false;
}

static bool step_partitioned(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (ev->store_read_us <= l->lapsed_us || store_unreachable(l, ev))
		return false;
	/*
	 * No call failed: the store was only slow, and its answer shows that the entry is
	 * missing.
	 */
	if (!store_failed_recently(l, ev))
		return set_gone(l, LW_LEASE_CAUSE_STORE);
	l->returned_us = ev->now_us;
	return set_state(l, LW_LEASE_RETURNING, LW_LEASE_CAUSE_STORE);
}

/* until when the server may re-register */
static uint64_t reregister_deadline_us(const lw_lease_t *l)
{
	if (l->returned_us - l->lapsed_us < EVIDENCE_WAIT_US)
		return l->lapsed_us + SHORT_OUTAGE_US;
	return l->returned_us + REREGISTER_US;
}

static bool step_returning(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	bool soon = l->returned_us - l->lapsed_us < EVIDENCE_WAIT_US;

	if (store_unreachable(l, ev) && ev->store_failed_us > l->returned_us)
		return set_state(l, LW_LEASE_CUT, LW_LEASE_CAUSE_STORE);
	if (ev->now_us > reregister_deadline_us(l))
		return set_gone(l, soon ? LW_LEASE_CAUSE_TIME : LW_LEASE_CAUSE_STORE);
	return false;
}

/* as long as it is not certain that the server left, late evidence still counts */
static bool step_gone(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (!l->server_left && store_unreachable(l, ev) && server_is_healthy(ev))
		return set_state(l, LW_LEASE_CUT, LW_LEASE_CAUSE_STORE);
	return false;
}

/* lw_lease_step() - advance the state with the evidence @ev; true if the state changed. */
bool lw_lease_step(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (l->state == LW_LEASE_HELD)
		return false;
	if (ev->leaving && l->state != LW_LEASE_GONE)
		return set_gone(l, LW_LEASE_CAUSE_SERVER);
	l->server_left |= ev->leaving;
	switch (l->state) {
	case LW_LEASE_LAPSED:
		return step_lapsed(l, ev);
	case LW_LEASE_CUT:
		return step_partitioned(l, ev);
	case LW_LEASE_RETURNING:
		return step_returning(l, ev);
	default:
		return step_gone(l, ev);
	}
}

/* lw_lease_in_use() - whether the server on this host may be given new requests. */
bool lw_lease_in_use(const lw_lease_t *l)
{
	return l->state != LW_LEASE_GONE;
}

/*
 * lw_lease_asserts_liveness() - whether this node may tell other nodes that its server,
 * whose entry is missing, is alive and can still be used.
 */
bool lw_lease_asserts_liveness(const lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	return (l->state == LW_LEASE_CUT || l->state == LW_LEASE_RETURNING) &&
	       server_is_healthy(ev);
}

/* lw_lease_state_name() - name of a state in the log and on the status page. */
const char *lw_lease_state_name(lw_lease_state_t s)
{
	static const char *const names[LW_LEASE_STATES] = { "held", "lapsed", "cut", "returning",
							    "gone" };

	return s < LW_LEASE_STATES ? names[s] : "unknown";
}

/* lw_lease_cause_name() - name of a cause in the log. */
const char *lw_lease_cause_name(lw_lease_cause_t c)
{
	static const char *const names[] = { "list", "server", "store", "time" };

	return names[c];
}
