/*
 * Syslog-style event lines to standard error. Each line carries the event
 * number so operators can grep for it and find it in docs/EVENTS.md.
 */
#include "log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

static const char *log_prog = "lavenderward";
static int log_max = LOG_INFO;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

struct event_info {
	int id;
	const char *name;
	int pri;
	const char *desc;
};

static const struct event_info events[] = {
#define LW_EV_INFO(id, name, pri, desc) { id, #name, pri, desc },
	LW_EVENTS(LW_EV_INFO)
#undef LW_EV_INFO
};

/*
 * lw_log_init() - name the program in every line and drop events less
 * urgent than @max_priority (a syslog priority, LOG_ERR..LOG_DEBUG).
 */
void lw_log_init(const char *prog, int max_priority)
{
	log_prog = prog;
	log_max = max_priority;
}

static const struct event_info *event_find(lw_event_id_t ev)
{
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++)
		if (events[i].id == (int)ev)
			return &events[i];
	return NULL;
}

/*
 * lw_log() - write event @ev with key=value fields given by @fmt.
 * One write per line under a lock, so lines of threads do not interleave.
 */
void lw_log(lw_event_id_t ev, const char *fmt, ...)
{
	const struct event_info *info = event_find(ev);
	char stamp[32];
	char fields[768];
	struct tm tm;
	time_t now = time(NULL);
	va_list ap;

	if (!info || info->pri > log_max)
		return;
	localtime_r(&now, &tm);
	strftime(stamp, sizeof(stamp), "%b %e %H:%M:%S", &tm);
	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&log_lock);
	fprintf(stderr, "<%d>%s %s[%d]: E%04d %s %s\n", info->pri, stamp, log_prog, (int)getpid(),
		info->id, info->name, fields);
	pthread_mutex_unlock(&log_lock);
}

/*
 * lw_log_level_parse() - map "error", "warning", "notice", "info" or
 * "debug" to a syslog priority; -1 for anything else.
 */
int lw_log_level_parse(const char *name)
{
	static const struct {
		const char *name;
		int pri;
	} levels[] = { { "error", LOG_ERR },
		       { "warning", LOG_WARNING },
		       { "notice", LOG_NOTICE },
		       { "info", LOG_INFO },
		       { "debug", LOG_DEBUG } };

	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (strcmp(levels[i].name, name) == 0)
			return levels[i].pri;
	return -1;
}

/* lw_log_catalogue() - print the event catalogue as a Markdown table. */
void lw_log_catalogue(void)
{
	printf("| event | name | priority | meaning |\n|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++)
		printf("| E%04d | %s | %d | %s |\n", events[i].id, events[i].name, events[i].pri,
		       events[i].desc);
}
