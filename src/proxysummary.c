/*
 * Writes what this node did since its start and holds now to the log at intervals and when it
 * stops. Its metrics page is gone with the process; these lines are what is left of it.
 */
#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>

#include "log.h"
#include "proxy_int.h"

/* interval of the summaries in the log, us */
#define SUMMARY_INTERVAL_US 10000000
/* length of the counts of calls to the store, one for each reason, in bytes */
#define CALLS_MAX_BYTES 256
/* length of the counts of lost requests, one for each cause, in bytes */
#define LOSSES_MAX_BYTES 576

/* lw_proxy_summary_init() - the process starts: the first summary follows after an interval. */
void lw_proxy_summary_init(lw_proxy_t *p)
{
	p->started_us = p->evloop.now_us;
	p->summary_us = p->evloop.now_us;
}

static uint64_t processor_ms(void)
{
	struct rusage used = { 0 };

	getrusage(RUSAGE_SELF, &used);
	return (uint64_t)(used.ru_utime.tv_sec + used.ru_stime.tv_sec) * 1000 +
	       (uint64_t)(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1000;
}

static void print_store_calls(const lw_storereader_stats_t *s, char *out, size_t len)
{
	size_t at = 0;

	for (int i = 0; i < LW_STOREREADER_REASON_COUNT && at < len; i++)
		at += (size_t)snprintf(out + at, len - at, " calls_%s=%llu",
				       lw_storereader_reason_name((lw_storereader_reason_t)i),
				       (unsigned long long)s->calls[i]);
}

/*
 * Logs the requests lost since the start, by cause. It is a line of its own, as the fields of both
 * together would exceed the length of a line.
 */
static void log_losses(const lw_proxy_t *p)
{
	const lw_engine_stats_t *s = &p->engine.stats;
	char causes[LOSSES_MAX_BYTES] = "";
	uint64_t lost = 0;
	size_t at = 0;

	for (uint32_t i = 0; i < LW_LOSS_CAUSES; i++)
		lost += s->lost[i];
	for (uint32_t i = 0; i < LW_LOSS_CAUSES && at < sizeof(causes); i++)
		if (s->lost[i])
			at += (size_t)snprintf(causes + at, sizeof(causes) - at, " lost_%s=%llu",
					       lw_loss_name(i), (unsigned long long)s->lost[i]);
	lw_log(LW_LOG_loss_summary,
	       "uptime_ms=%llu requests=%llu nested=%llu lines_dropped=%llu lost_nested=%llu lost=%llu%s",
	       (unsigned long long)((p->evloop.now_us - p->started_us) / 1000),
	       (unsigned long long)s->requests, (unsigned long long)s->nested,
	       (unsigned long long)lw_log_dropped(), (unsigned long long)s->lost_nested,
	       (unsigned long long)lost, causes);
}

/* lw_proxy_summary_log() - logs the summary and the requests lost. */
void lw_proxy_summary_log(lw_proxy_t *p)
{
	const lw_mesh_stats_t *mesh = lw_mesh_stats(p->engine.mesh);
	char calls[CALLS_MAX_BYTES];
	uint32_t outgoing, incoming;

	lw_mesh_count_links(p->engine.mesh, &outgoing, &incoming);
	print_store_calls(&p->store_reader.stats, calls, sizeof(calls));
	lw_log(LW_LOG_node_summary,
	       "uptime_ms=%llu service=%s zone=%s rank=%d children=%zu links_out=%u links_in=%u callers=%u wakeups=%llu cpu_ms=%llu heap_kb=%zu frames_in=%llu frames_out=%llu bytes_out=%llu control_bytes=%llu links_opened=%llu links_retired=%llu requests=%llu retries=%llu retries_denied=%llu%s",
	       (unsigned long long)((p->evloop.now_us - p->started_us) / 1000), p->set->service,
	       p->set->zone, (int)p->fanout.rank, p->fanout.nchildren, outgoing, incoming,
	       lw_callers_count(p->callers), (unsigned long long)p->evloop.iterations,
	       (unsigned long long)processor_ms(), mallinfo2().uordblks / 1024,
	       (unsigned long long)mesh->frames_in, (unsigned long long)mesh->frames_out,
	       (unsigned long long)mesh->bytes_out, (unsigned long long)lw_mesh_control_bytes(mesh),
	       (unsigned long long)mesh->links_opened, (unsigned long long)mesh->links_retired,
	       (unsigned long long)p->engine.stats.requests,
	       (unsigned long long)p->engine.stats.retries,
	       (unsigned long long)p->engine.stats.retries_denied, calls);
	log_losses(p);
}

/* lw_proxy_summary_tick() - logs the summary if an interval is over. */
void lw_proxy_summary_tick(lw_proxy_t *p)
{
	if (p->evloop.now_us - p->summary_us < SUMMARY_INTERVAL_US)
		return;
	p->summary_us = p->evloop.now_us;
	lw_proxy_summary_log(p);
}
