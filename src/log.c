/*
 * Syslog-style event lines. Each line has the event number, so that operators
 * can grep for it and look it up in docs/EVENTS.md. After
 * lw_log_start_writer() the lines go through a buffer to a writer thread: a
 * log reader that is paused must not delay requests. The rate of lines about
 * single requests is limited; dropped lines are counted.
 */
#include "log.h"

#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#include "linux/clock.h"
#include "xalloc.h"

/* fields and line of one event up to these lengths need no allocation, in bytes */
#define FIELDS_USUAL_BYTES 768
#define LINE_USUAL_BYTES   1024
/* longer fields are truncated, in bytes: one line must not fill the buffer of the writer */
#define FIELDS_MAX_BYTES 16384
/* room for the rest of a line, in bytes */
#define LINE_REST_BYTES (LINE_USUAL_BYTES - FIELDS_USUAL_BYTES)
/* lw_log_flush() waits for at most this many steps of 10 ms */
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
 * lw_log_init() - sets the program name in the lines and drops events less urgent
 * than @max_priority (a syslog priority, LOG_ERR..LOG_DEBUG).
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

/* size of the buffer of lines for the writer thread; holds about a thousand lines */
#define OUTPUT_BUFFER_BYTES 131072
/* how long the writer thread collects lines to write them with one system call, ms */
#define GATHER_MS 50
/*
 * Largest burst of lines about single requests, in seconds of the allowed rate.
 * An on-call engineer needs examples of the failures, not each of thousands of
 * refusals.
 */
#define REQUEST_BURST_S 3
/* shortest interval between reports of dropped lines, us */
#define DROPPED_REPORT_US 1000000
/* numbers of the events about single requests */
#define REQUEST_EVENT_FIRST 1300
#define REQUEST_EVENT_LAST  1399
#define RETURN_EVENT_FIRST  1640
#define RETURN_EVENT_LAST   1649

static struct {
	int fd; /* -1: no writer thread, lines go to standard error */
	char *bytes;
	size_t len;
	bool writing; /* the writer thread is writing lines */
	uint64_t dropped;
	uint64_t dropped_reported;
	uint64_t dropped_reported_us;
	double per_s; /* allowed lines about single requests per second */
	double tokens;
	uint64_t tokens_us;
	pthread_mutex_t lock;
	pthread_cond_t wake;
} output = { .fd = -1,
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

/*
 * Returns whether one more line about a single request is allowed; call with the
 * lock held.
 */
static bool take_request_token(void)
{
	uint64_t now = lw_now_us();

	output.tokens += (double)(now - output.tokens_us) * output.per_s / 1e6;
	output.tokens_us = now;
	if (output.tokens > output.per_s * REQUEST_BURST_S)
		output.tokens = output.per_s * REQUEST_BURST_S;
	if (output.tokens < 1)
		return false;
	output.tokens -= 1;
	return true;
}

/*
 * lw_log_is_about_request() - whether the event with this number is about a single request, so that
 * lines of it may be dropped to bound the volume.
 */
bool lw_log_is_about_request(int id)
{
	return (id >= REQUEST_EVENT_FIRST && id <= REQUEST_EVENT_LAST) ||
	       (id >= RETURN_EVENT_FIRST && id <= RETURN_EVENT_LAST);
}

/* frees @text unless it is the buffer @usual */
static void release(char *text, const char *usual)
{
	if (text != usual)
		free(text);
}

static void enqueue_line(const struct event_info *info, const char *fields)
{
	bool about_request = lw_log_is_about_request(info->id);
	size_t room = strlen(fields) + LINE_REST_BYTES;
	char usual[LINE_USUAL_BYTES];
	char *line = room > sizeof(usual) ? xmalloc(room) : usual;
	size_t len;

	pthread_mutex_lock(&output.lock);
	if (about_request && !take_request_token()) {
		output.dropped++;
		pthread_mutex_unlock(&output.lock);
		release(line, usual);
		return;
	}
	len = format_line(line, room > sizeof(usual) ? room : sizeof(usual), info, fields);
	if (output.len + len > OUTPUT_BUFFER_BYTES) {
		output.dropped++;
	} else {
		memcpy(output.bytes + output.len, line, len);
		output.len += len;
		pthread_cond_signal(&output.wake);
	}
	pthread_mutex_unlock(&output.lock);
	release(line, usual);
}

static void print_line(const struct event_info *info, const char *fields)
{
	size_t room = strlen(fields) + LINE_REST_BYTES;
	char *line = xmalloc(room);

	format_line(line, room, info, fields);
	pthread_mutex_lock(&log_lock);
	fputs(line, stderr);
	pthread_mutex_unlock(&log_lock);
	free(line);
}

/* the fields of a line that is longer than usual; the caller frees them */
static char *long_fields(size_t len, const char *fmt, va_list ap)
{
	size_t room = len < FIELDS_MAX_BYTES ? len + 1 : FIELDS_MAX_BYTES;
	char *fields = xmalloc(room);

	vsnprintf(fields, room, fmt, ap);
	return fields;
}

/*
 * lw_log() - writes event @ev with the key=value fields given by @fmt. Never
 * waits for the reader of the log after lw_log_start_writer().
 */
void lw_log(lw_event_id_t ev, const char *fmt, ...)
{
	const struct event_info *info = event_find(ev);
	char usual[FIELDS_USUAL_BYTES];
	char *fields = usual;
	va_list ap, again;
	int len;

	if (!info || info->pri > log_max)
		return;
	va_start(ap, fmt);
	va_copy(again, ap);
	len = vsnprintf(usual, sizeof(usual), fmt, ap);
	if (len >= (int)sizeof(usual))
		fields = long_fields((size_t)len, fmt, again);
	va_end(again);
	va_end(ap);
	if (output.fd >= 0)
		enqueue_line(info, fields);
	else
		print_line(info, fields);
	release(fields, usual);
}

/*
 * Writes all of @len bytes. If the descriptor fails, the remaining lines are lost
 * and counted as one dropped line.
 */
static void write_all(const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = write(output.fd, bytes, len);

		if (n <= 0) {
			__atomic_add_fetch(&output.dropped, 1, __ATOMIC_RELAXED);
			return;
		}
		bytes += n;
		len -= (size_t)n;
	}
}

/*
 * Writes from the handler of a fatal signal. If nobody reads the log the rest is lost: the process
 * must end, as it holds its connections and would answer nobody.
 */
static void write_unless_blocked(const char *bytes, size_t len)
{
	struct pollfd out = { .fd = output.fd >= 0 ? output.fd : STDERR_FILENO, .events = POLLOUT };

	while (len && poll(&out, 1, 0) == 1 && (out.revents & POLLOUT)) {
		/* a pipe that is ready takes this much at once */
		ssize_t n = write(out.fd, bytes, len < PIPE_BUF ? len : PIPE_BUF);

		if (n <= 0)
			return;
		bytes += n;
		len -= (size_t)n;
	}
}

/*
 * lw_log_begin_emergency() - for the handler of a fatal signal: writes the lines that wait for the
 * writer thread, unless a thread holds them.
 */
void lw_log_begin_emergency(void)
{
	if (output.fd < 0 || pthread_mutex_trylock(&output.lock))
		return;
	write_unless_blocked(output.bytes, output.len);
	output.len = 0;
	pthread_mutex_unlock(&output.lock);
}

/*
 * lw_log_emergency() - writes an event at once, from the handler of a fatal signal. It takes no lock
 * of this module and allocates nothing, as the interrupted code may be doing either.
 */
void lw_log_emergency(lw_event_id_t ev, const char *fmt, ...)
{
	const struct event_info *info = event_find(ev);
	char fields[FIELDS_USUAL_BYTES];
	char line[LINE_USUAL_BYTES];
	va_list ap;

	if (!info)
		return;
	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	write_unless_blocked(line, format_line(line, sizeof(line), info, fields));
}

/* Logs how many lines were dropped since the last such report. */
static void report_dropped(void)
{
	uint64_t dropped = lw_log_dropped();
	uint64_t reported = output.dropped_reported;
	uint64_t now = lw_now_us();

	if (dropped == reported || now - output.dropped_reported_us < DROPPED_REPORT_US)
		return;
	output.dropped_reported_us = now;
	output.dropped_reported = dropped;
	lw_log(LW_LOG_log_dropped, "lines=%llu total=%llu",
	       (unsigned long long)(dropped - reported), (unsigned long long)dropped);
}

static void *writer(void *arg)
{
	const struct timespec gather = { .tv_nsec = GATHER_MS * 1000000L };
	char *spare = xmalloc(OUTPUT_BUFFER_BYTES);

	(void)arg;
	for (;;) {
		char *full;
		size_t len;

		pthread_mutex_lock(&output.lock);
		while (!output.len)
			pthread_cond_wait(&output.wake, &output.lock);
		pthread_mutex_unlock(&output.lock);
		nanosleep(&gather, NULL);
		report_dropped();
		pthread_mutex_lock(&output.lock);
		full = output.bytes;
		len = output.len;
		output.bytes = spare;
		output.len = 0;
		output.writing = true;
		pthread_mutex_unlock(&output.lock);
		write_all(full, len);
		spare = full;
		pthread_mutex_lock(&output.lock);
		output.writing = false;
		pthread_mutex_unlock(&output.lock);
	}
	return NULL;
}

/*
 * lw_log_limit() - sets the number of lines per second about single requests; 0:
 * none.
 */
void lw_log_limit(uint32_t request_lines_per_s)
{
	pthread_mutex_lock(&output.lock);
	output.per_s = request_lines_per_s;
	pthread_mutex_unlock(&output.lock);
}

/* lw_log_start_writer() - from now on a writer thread writes the lines to @fd. */
void lw_log_start_writer(int fd)
{
	pthread_t thread;

	output.bytes = xmalloc(OUTPUT_BUFFER_BYTES);
	output.tokens = output.per_s * REQUEST_BURST_S;
	output.tokens_us = lw_now_us();
	if (pthread_create(&thread, NULL, writer, NULL))
		return; /* lines still go to standard error */
	pthread_detach(thread);
	output.fd = fd;
}

/*
 * lw_log_flush() - waits up to 200 ms until all lines are written; for the end of
 * the process.
 */
void lw_log_flush(void)
{
	const struct timespec step = { .tv_nsec = 10000000L };

	for (int i = 0; i < FLUSH_STEPS; i++) {
		bool done;

		pthread_mutex_lock(&output.lock);
		done = !output.len && !output.writing;
		pthread_mutex_unlock(&output.lock);
		if (done)
			return;
		nanosleep(&step, NULL);
	}
}

/* lw_log_dropped() - number of lines dropped since the start. */
uint64_t lw_log_dropped(void)
{
	return __atomic_load_n(&output.dropped, __ATOMIC_RELAXED);
}

/*
 * lw_log_level_parse() - converts "error", "warning", "notice", "info" or "debug"
 * to a syslog priority; -1 for any other name.
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

/* lw_log_catalogue() - prints the event catalogue as a Markdown table. */
void lw_log_catalogue(void)
{
	printf("| event | name | priority | meaning |\n|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++)
		printf("| E%04d | %s | %d | %s |\n", events[i].id, events[i].name, events[i].pri,
		       events[i].desc);
}
