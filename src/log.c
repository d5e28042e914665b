/*
 * Syslog-style event lines. Each line carries the event number so operators
 * can grep for it and find it in docs/EVENTS.md. Lines of a request loop go
 * through a ring to a writer thread: a log reader that stands still must not
 * hold up requests. Request lines are limited in number; what is left out is
 * counted.
 */
#include "log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#include "linux/clock.h"
#include "xalloc.h"

/* longest fields and line of one event, in bytes; longer ones are cut */
#define FIELDS_MAX_BYTES 768
#define LINE_MAX_BYTES	 1024
/* lw_log_flush() waits so many times 10 ms */
#define FLUSH_STEPS 20

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

/* bytes of lines that wait for the writer; about a thousand lines */
#define RING_BYTES 131072
/* the writer gathers lines for so long before it writes, ms: one call for many */
#define GATHER_MS 50
/*
 * After a quiet time request lines of so many seconds may come at once. An
 * on-call engineer needs examples of what goes wrong, not each of thousands of
 * refusals.
 */
#define REQUEST_BURST_S 3
/* how often it is told that lines were left out, us */
#define TELL_EVERY_US 1000000
/* events about single requests have these numbers */
#define REQUEST_EVENT_FIRST 1300
#define REQUEST_EVENT_LAST  1399

static struct {
	int fd; /* -1: no ring, straight to standard error */
	char *bytes;
	size_t len;
	bool writing; /* the writer has lines in hand */
	uint64_t dropped;
	uint64_t dropped_told;
	uint64_t told_us;
	double per_s; /* request lines */
	double tokens;
	uint64_t tokens_us;
	pthread_mutex_t lock;
	pthread_cond_t wake;
} ring = { .fd = -1,
	   .per_s = LW_LOG_REQUEST_LINES,
	   .lock = PTHREAD_MUTEX_INITIALIZER,
	   .wake = PTHREAD_COND_INITIALIZER };

static size_t format_line(char *dst, size_t len, const struct event_info *info, const char *fields)
{
	char stamp[32];
	struct timespec now;
	struct tm tm;
	int n;

	clock_gettime(CLOCK_REALTIME, &now);
	localtime_r(&now.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%b %e %H:%M:%S", &tm);
	n = snprintf(dst, len, "<%d>%s.%03ld %s[%d]: E%04d %s %s\n", info->pri, stamp,
		     now.tv_nsec / 1000000, log_prog, (int)getpid(), info->id, info->name, fields);
	return n < (int)len ? (size_t)n : len - 1;
}

/* whether one more request line is within the limit; the lock is held */
static bool within_limit(void)
{
	uint64_t now = lw_now_us();

	ring.tokens += (double)(now - ring.tokens_us) * ring.per_s / 1e6;
	ring.tokens_us = now;
	if (ring.tokens > ring.per_s * REQUEST_BURST_S)
		ring.tokens = ring.per_s * REQUEST_BURST_S;
	if (ring.tokens < 1)
		return false;
	ring.tokens -= 1;
	return true;
}

static void to_ring(const struct event_info *info, const char *fields)
{
	bool about_request = info->id >= REQUEST_EVENT_FIRST && info->id <= REQUEST_EVENT_LAST;
	char line[LINE_MAX_BYTES];
	size_t len;

	pthread_mutex_lock(&ring.lock);
	if (about_request && !within_limit()) {
		ring.dropped++;
		pthread_mutex_unlock(&ring.lock);
		return;
	}
	len = format_line(line, sizeof(line), info, fields);
	if (ring.len + len > RING_BYTES) {
		ring.dropped++;
	} else {
		memcpy(ring.bytes + ring.len, line, len);
		ring.len += len;
		pthread_cond_signal(&ring.wake);
	}
	pthread_mutex_unlock(&ring.lock);
}

/*
 * lw_log() - write event @ev with key=value fields given by @fmt. Never waits
 * for the reader of the log if lw_log_to_ring() was called.
 */
void lw_log(lw_event_id_t ev, const char *fmt, ...)
{
	const struct event_info *info = event_find(ev);
	char fields[FIELDS_MAX_BYTES];
	char line[LINE_MAX_BYTES];
	va_list ap;

	if (!info || info->pri > log_max)
		return;
	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	if (ring.fd >= 0) {
		to_ring(info, fields);
		return;
	}
	format_line(line, sizeof(line), info, fields);
	pthread_mutex_lock(&log_lock);
	fputs(line, stderr);
	pthread_mutex_unlock(&log_lock);
}

/* write all of @len bytes; a descriptor that fails loses the lines, counted */
static void write_all(const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = write(ring.fd, bytes, len);

		if (n <= 0) {
			__atomic_add_fetch(&ring.dropped, 1, __ATOMIC_RELAXED);
			return;
		}
		bytes += n;
		len -= (size_t)n;
	}
}

/* the line that tells how many were left out since the last such line */
static void tell_dropped(void)
{
	uint64_t dropped = lw_log_dropped();
	uint64_t told = ring.dropped_told;
	uint64_t now = lw_now_us();

	if (dropped == told || now - ring.told_us < TELL_EVERY_US)
		return;
	ring.told_us = now;
	ring.dropped_told = dropped;
	lw_log(LW_LOG_log_dropped, "lines=%llu total=%llu", (unsigned long long)(dropped - told),
	       (unsigned long long)dropped);
}

static void *writer(void *arg)
{
	const struct timespec gather = { .tv_nsec = GATHER_MS * 1000000L };
	char *spare = xmalloc(RING_BYTES);

	(void)arg;
	for (;;) {
		char *full;
		size_t len;

		pthread_mutex_lock(&ring.lock);
		while (!ring.len)
			pthread_cond_wait(&ring.wake, &ring.lock);
		pthread_mutex_unlock(&ring.lock);
		nanosleep(&gather, NULL);
		tell_dropped();
		pthread_mutex_lock(&ring.lock);
		full = ring.bytes;
		len = ring.len;
		ring.bytes = spare;
		ring.len = 0;
		ring.writing = true;
		pthread_mutex_unlock(&ring.lock);
		write_all(full, len);
		spare = full;
		pthread_mutex_lock(&ring.lock);
		ring.writing = false;
		pthread_mutex_unlock(&ring.lock);
	}
	return NULL;
}

/* lw_log_limit() - lines about single requests a second from now on; 0: none. */
void lw_log_limit(uint32_t request_lines_per_s)
{
	pthread_mutex_lock(&ring.lock);
	ring.per_s = request_lines_per_s;
	pthread_mutex_unlock(&ring.lock);
}

/* lw_log_to_ring() - from now on lines go to @fd through a thread of their own. */
void lw_log_to_ring(int fd)
{
	pthread_t thread;

	ring.bytes = xmalloc(RING_BYTES);
	ring.tokens = ring.per_s * REQUEST_BURST_S;
	ring.tokens_us = lw_now_us();
	if (pthread_create(&thread, NULL, writer, NULL))
		return; /* lines go on to standard error */
	pthread_detach(thread);
	ring.fd = fd;
}

/* lw_log_flush() - before the process ends: wait shortly until all is written. */
void lw_log_flush(void)
{
	const struct timespec step = { .tv_nsec = 10000000L };

	for (int i = 0; i < FLUSH_STEPS; i++) {
		bool done;

		pthread_mutex_lock(&ring.lock);
		done = !ring.len && !ring.writing;
		pthread_mutex_unlock(&ring.lock);
		if (done)
			return;
		nanosleep(&step, NULL);
	}
}

/* lw_log_dropped() - lines left out since the start. */
uint64_t lw_log_dropped(void)
{
	return __atomic_load_n(&ring.dropped, __ATOMIC_RELAXED);
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
