/*
 * Keeps the configuration up to date: watches the platform's configuration
 * service, and fetches a newer configuration from a peer that has one, so that a
 * node to which the service refuses access or serves old versions still gets
 * updates.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "httpc.h"
#include "linux/clock.h"
#include "log.h"
#include "node_int.h"
#include "xalloc.h"

#define WATCH_WAIT_MS  5000
#define WATCH_GRACE_MS 2000 /* a poll that exceeds its wait by this is dead */
#define RETRY_MIN_MS   250
#define RETRY_MAX_MS   2000
#define FETCH_MS       1000

/*
 * Applies @pc if it is strictly newer than the configuration in force: an older
 * or equal version (from a stale service or from a peer that lags behind) must
 * never replace it. Takes ownership of @pc.
 */
static void apply_if_newer(lw_node_t *n, lw_platconf_t *pc, const char *source)
{
	lw_event_t ev = { .kind = LW_EV_CONFIG, .config = pc };
	lw_platconf_t *old;

	pthread_mutex_lock(&n->config_lock);
	old = n->config;
	if (old && pc->version <= old->version) {
		lw_log(LW_LOG_config_not_newer,
		       "version=%" PRIu64 " in_force=%" PRIu64 " source=%s", pc->version,
		       old->version, source);
		pthread_mutex_unlock(&n->config_lock);
		lw_platconf_free(pc);
		return;
	}
	rcu_assign_pointer(n->config, pc);
	pthread_mutex_lock(&n->lock);
	lw_node_step(n, &ev);
	pthread_mutex_unlock(&n->lock);
	lw_log(LW_LOG_config_accepted, "version=%" PRIu64 " preset=%s hosts=%zu source=%s",
	       pc->version, pc->in_force->name, pc->nhosts, source);
	if (old && strcmp(old->in_force->name, pc->in_force->name) != 0)
		lw_log(LW_LOG_preset_changed, "from=%s to=%s version=%" PRIu64, old->in_force->name,
		       pc->in_force->name, pc->version);
	synchronize_rcu();
	pthread_mutex_unlock(&n->config_lock);
	lw_platconf_free(old);
}

static void apply_text(lw_node_t *n, const char *text, size_t len, const char *source)
{
	lw_platconf_t *pc;

	if (lw_platconf_parse(text, len, &pc))
		lw_log(LW_LOG_config_rejected, "source=%s why=\"%s\"", source, lw_error_last());
	else
		apply_if_newer(n, pc, source);
}

typedef struct watch {
	char index[24]; /* the service's index of the last version received */
	bool down;
	uint32_t retry_ms;
} watch_t;

static void watch_failed(lw_node_t *n, watch_t *w, int status)
{
	if (!w->down)
		lw_log(LW_LOG_config_unreachable, "service=%s status=%d", n->set.config_service,
		       status);
	w->down = true;
	/* all nodes retry when the service returns: spread the retries */
	usleep((useconds_t)(w->retry_ms / 2 + (uint32_t)lrand48() % w->retry_ms) * 1000);
	w->retry_ms = w->retry_ms * 2 > RETRY_MAX_MS ? RETRY_MAX_MS : w->retry_ms * 2;
}

static void watch_once(lw_node_t *n, lw_httpc_t *c, watch_t *w)
{
	char path[LW_NAME_MAX * 3];
	lw_http_reply_t r;

	snprintf(path, sizeof(path), "/v1/kv/%s?index=%s&wait=%d", n->set.config_key, w->index,
		 WATCH_WAIT_MS);
	lw_httpc_call(c, "GET", path, NULL, 0, (lw_str_t){ NULL, 0 },
		      WATCH_WAIT_MS + WATCH_GRACE_MS, true, &r);
	if (r.fail || r.status != 200) {
		watch_failed(n, w, r.status);
	} else {
		w->down = false;
		w->retry_ms = RETRY_MIN_MS;
		/* same index: the watch ended without a change */
		if (!r.index[0] || strcmp(r.index, w->index) != 0)
			apply_text(n, r.body ? r.body : "", r.len, "config_service");
		snprintf(w->index, sizeof(w->index), "%s", r.index[0] ? r.index : "0");
	}
	free(r.body);
}

static void *watch_main(void *arg)
{
	lw_node_t *n = arg;
	lw_httpc_t *c = lw_httpc_new(n->set.config_service);
	watch_t w = { .index = "0", .retry_ms = RETRY_MIN_MS };

	while (!__atomic_load_n(&n->stopping, __ATOMIC_RELAXED))
		watch_once(n, c, &w);
	lw_httpc_free(c);
	return NULL;
}

/*
 * lw_confwatch_peer_has() - the peer at @addr reported in a frame that it has
 * configuration @version. If it is newer than the configuration in force, it is
 * fetched from the peer.
 */
void lw_confwatch_peer_has(lw_node_t *n, const char *addr, uint64_t version)
{
	if (version <= __atomic_load_n(&n->policy->info.config_version, __ATOMIC_RELAXED) ||
	    !addr[0] || strlen(addr) >= LW_NAME_MAX)
		return;
	pthread_mutex_lock(&n->lock);
	snprintf(n->config_hint, sizeof(n->config_hint), "%s", addr);
	pthread_cond_signal(&n->config_cond);
	pthread_mutex_unlock(&n->lock);
}

static void fetch_from(lw_node_t *n, const char *addr)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__ConfigRequest req = LW__CONFIG_REQUEST__INIT;
	const Lw__ConfigReply *rep;
	Lw__Frame *reply;

	req.newer_than = __atomic_load_n(&n->policy->info.config_version, __ATOMIC_RELAXED);
	f.body_case = LW__FRAME__BODY_CONFIG_REQUEST;
	f.config_request = &req;
	if (!lw_pool_request(n->pool, addr, &f, FETCH_MS, true, &reply))
		return;
	rep = reply->config_reply;
	if (reply->body_case == LW__FRAME__BODY_CONFIG_REPLY && rep->version > req.newer_than) {
		lw_counter_add(n->count.config_fetches, 1);
		lw_log(LW_LOG_config_from_peer, "peer=%s version=%" PRIu64, addr, rep->version);
		if (XXH64(rep->text.data, rep->text.len, 0) == rep->hash)
			apply_text(n, (const char *)rep->text.data, rep->text.len, "peer");
		else
			lw_log(LW_LOG_config_rejected, "source=peer why=\"hash differs\"");
	}
	lw_frame_free(reply);
}

static void *fetch_main(void *arg)
{
	lw_node_t *n = arg;

	for (;;) {
		char addr[LW_NAME_MAX];

		pthread_mutex_lock(&n->lock);
		while (!n->config_hint[0])
			pthread_cond_wait(&n->config_cond, &n->lock);
		memcpy(addr, n->config_hint, sizeof(addr));
		n->config_hint[0] = '\0';
		n->config_fetching = true;
		pthread_mutex_unlock(&n->lock);
		fetch_from(n, addr);
		pthread_mutex_lock(&n->lock);
		n->config_fetching = false;
		pthread_mutex_unlock(&n->lock);
	}
	return NULL;
}

/*
 * lw_confwatch_fetching() - returns whether a newer version is known but not yet
 * fetched.
 */
bool lw_confwatch_fetching(lw_node_t *n)
{
	bool busy;

	pthread_mutex_lock(&n->lock);
	busy = n->config_hint[0] || n->config_fetching;
	pthread_mutex_unlock(&n->lock);
	return busy;
}

/*
 * lw_confwatch_start() - starts to watch the service and to fetch newer versions
 * from peers.
 */
void lw_confwatch_start(lw_node_t *n)
{
	pthread_t t;

	pthread_create(&t, NULL, watch_main, n);
	pthread_detach(t);
	pthread_create(&t, NULL, fetch_main, n);
	pthread_detach(t);
}
