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
 * How many calls have to fail in a row to show that the host is partitioned from the store: a
 * single one fails for other reasons, too. The store rejects calls above its rate, cuts watches
 * that wait, resets connections; the next call, a moment later, succeeds then.
 */
#define FAILED_CALLS 2
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
 * as gone this long after its entry was missed, whatever fails later: the store update takes
 * 0.75 s to arrive, and this is what remains of the drain time, us.
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
 * lw_lease_entry_missing() - the newest server list lacks the entry, the previous one had it or
 * lacked it already. A withdrawn entry can't have expired, nor one of a server whose host has
 * reached the store since its last heartbeat but two: the server left, whatever its health check
 * says and whichever calls fail.
 */
void lw_lease_entry_missing(lw_lease_t *l, const lw_lease_loss_t *loss)
{
	bool left = loss->withdrawn;

	if (l->state == LW_LEASE_HELD) {
		left |= !lw_expiry_possible(&loss->expiry, loss->store_read_us, loss->now_us);
		*l = (lw_lease_t){ .lapsed_us = loss->now_us };
		set_state(l, LW_LEASE_LAPSED, LW_LEASE_CAUSE_LIST);
	}
	if (!left)
		return;
	l->server_left = true;
	set_state(l, LW_LEASE_GONE, LW_LEASE_CAUSE_LIST);
}

static bool store_failed_recently(const lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	return ev->store_failed_us && ev->store_failed_us + FAILURE_LOOKBACK_US > l->lapsed_us;
}

/* the last calls to the store failed, or one is about to fail */
static bool store_unreachable(const lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	return ev->pending || (ev->failed_in_row >= FAILED_CALLS && store_failed_recently(l, ev));
}

static bool server_is_healthy(const lw_lease_evidence_t *ev)
{
	return ev->healthy_us && ev->now_us - ev->healthy_us < HEALTH_VALID_US;
}

static bool set_cut(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	l->cut_us = ev->now_us;
	return set_state(l, LW_LEASE_CUT, LW_LEASE_CAUSE_STORE);
}

static bool set_gone(lw_lease_t *l, lw_lease_cause_t cause)
{
	l->server_left = cause != LW_LEASE_CAUSE_TIME;
	return set_state(l, LW_LEASE_GONE, cause);
}

static bool step_lapsed(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (l->read_us)
		return set_gone(l, LW_LEASE_CAUSE_STORE);
	if (store_unreachable(l, ev) && server_is_healthy(ev))
		return set_cut(l, ev);
	if (ev->now_us - l->lapsed_us > EVIDENCE_WAIT_US)
		return set_gone(l, LW_LEASE_CAUSE_TIME);
	return false;
}

static bool step_partitioned(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (ev->store_read_us <= l->cut_us || store_unreachable(l, ev))
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

/*
 * Whether the store was read so soon after the entry was missed that nothing shows that this host
 * was partitioned before; single failed calls, or a store that turns this host away for a moment,
 * must not add to the time of a server that left.
 */
static bool was_read_soon(const lw_lease_t *l)
{
	return l->read_us && l->read_us - l->lapsed_us < EVIDENCE_WAIT_US;
}

/* until when the server may re-register */
static uint64_t reregister_deadline_us(const lw_lease_t *l)
{
	return was_read_soon(l) ? l->lapsed_us + SHORT_OUTAGE_US : l->returned_us + REREGISTER_US;
}

static bool step_returning(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (store_unreachable(l, ev) && ev->store_failed_us > l->returned_us)
		return set_cut(l, ev);
	if (ev->now_us > reregister_deadline_us(l))
		return set_gone(l, LW_LEASE_CAUSE_STORE);
	return false;
}

/* until the store has been read, late evidence of a partition still counts */
static bool step_gone(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	l->server_left |= l->read_us != 0;
	if (!l->server_left && store_unreachable(l, ev) && server_is_healthy(ev))
		return set_cut(l, ev);
	return false;
}

/*
 * Notes the first read of the store after the entry was missed, which lacks the entry, or
 * the entry would have been found.
 */
static void note_read(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (!l->read_us && ev->store_read_us > l->lapsed_us)
		l->read_us = ev->store_read_us;
}

/* lw_lease_step() - advance the state with the evidence @ev; true if the state changed. */
bool lw_lease_step(lw_lease_t *l, const lw_lease_evidence_t *ev)
{
	if (l->state == LW_LEASE_HELD)
		return false;
	note_read(l, ev);
	if (l->state != LW_LEASE_GONE && was_read_soon(l) && ev->now_us > reregister_deadline_us(l))
		return set_gone(l, LW_LEASE_CAUSE_STORE);
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
