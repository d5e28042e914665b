/* Reconstructs the path of a request from logs; see explain.h. */
#include "explain.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "call.h"
#include "logline.h"
#include "xalloc.h"

#define CAP_FIRST  16
#define VALUE_MAX  128
#define INDENT_MAX 20

/* The values of "why", what they mean and what to check next. */
static const struct {
	const char *why;
	const char *meaning;
	const char *next_step;
} reasons[] = {
	{ "path_busy", "a service on its call path is over capacity; the first node refused it",
	  "lw_gate_level and lw_gate_queued on the nodes of the service named by 'by'" },
	{ "busy", "the queues of the servers that were tried are longer than it could wait",
	  "lw_gate_running, lw_gate_limit and lw_gate_service_us on the nodes of that service" },
	{ "leaving", "the nodes that were tried are stopping or their servers are leaving",
	  "E1001 and E1208 on those nodes: too many restarts at once" },
	{ "expired", "it waited in the queue of a server until an answer would have come too late",
	  "lw_gate_wait_seconds and lw_gate_service_us there" },
	{ "no_server", "no server of the service accepts connections",
	  "E1208 for the list of servers; check that the server is running" },
	{ "unsent", "no node of the service could be reached",
	  "E1405 at that time for the node; check the network to it" },
	{ "shed", "the servers themselves rejected it", "the servers' own logs" },
	{ "misdirected", "another server has this address now",
	  "E1208: how old the list of servers was" },
	{ "broken",
	  "the connection was closed or the answer was invalid; it may have been executed",
	  "E1311 on the server's node, E1405 if the node itself was lost" },
	{ "cut_off", "the node beside its server stopped before the server had answered",
	  "accepted_by and expected_ms in E1318: why that node had still accepted it" },
	{ "timeout", "no answer within the route's timeout or the caller's deadline",
	  "the calls above: waited_ms (queue) and ran_ms (server); if none: the server was slow" },
	{ "over_limit", "its organisation exceeds its limit, which applies to all hosts together",
	  "E1315 for the limit and the admitted share; lw_organisation_requests_total by organisation" },
	{ "server_limit",
	  "the servers of a service on its call path have announced a limit on requests per second",
	  "E1604 on the nodes of that service; lw_server_limit_per_s and lw_gate_paced_total there" },
	{ "held", "servers crashed while they executed this request; it is refused for a while",
	  "E1602 with the same print on any node, E1601 on the nodes of those servers" },
};

/* lw_explain_init() - prepares @e for the request @id, with no lines yet. */
void lw_explain_init(lw_explain_t *e, const char *id)
{
	memset(e, 0, sizeof(*e));
	e->id = xstrdup(id);
}

/*
 * Returns whether @id is the request @root or a call made for it: the id of a
 * call is the id of its request, a dot and a suffix. @depth is set to the nesting
 * depth of the call, 0 for the request itself.
 */
static bool is_part_of(lw_str_t id, const char *root, uint32_t *depth)
{
	size_t n = strlen(root);

	if (id.len < n || memcmp(id.ptr, root, n) != 0 || (id.len > n && id.ptr[n] != '.'))
		return false;
	*depth = 0;
	for (size_t i = n; i < id.len; i++)
		*depth += id.ptr[i] == '.';
	return true;
}

static lw_explain_line_t *new_line(lw_explain_t *e)
{
	if (e->nlines == e->cap) {
		e->cap = e->cap ? e->cap * 2 : CAP_FIRST;
		e->lines = xrealloc(e->lines, e->cap * sizeof(*e->lines));
	}
	memset(&e->lines[e->nlines], 0, sizeof(e->lines[0]));
	return &e->lines[e->nlines++];
}

/*
 * lw_explain_add() - adds @line if it belongs to the request. A line in another
 * format is ignored. Also counts the lines that a node reports as dropped.
 */
void lw_explain_add(lw_explain_t *e, const char *source, const char *line)
{
	lw_logline_t found;
	lw_str_t id;
	lw_explain_line_t *l;
	uint32_t depth;

	if (!lw_logline_parse(&found, line))
		return;
	if (lw_str_eq_c(found.event, "log_dropped"))
		e->dropped += lw_logline_number(found.fields, "lines");
	id = lw_logline_value(found.fields, "id");
	if (!id.ptr || !is_part_of(id, e->id, &depth))
		return;
	l = new_line(e);
	l->at_ms = found.at_ms;
	l->seq = e->nlines;
	l->depth = depth;
	l->source = xstrdup(source);
	l->stamp = xstrndup(found.stamp.ptr, found.stamp.len);
	l->event = xstrndup(found.event.ptr, found.event.len);
	l->fields = xstrndup(found.fields, strcspn(found.fields, "\r\n"));
}

/*
 * Order of events of the same millisecond: the events that the end of a call
 * causes follow it.
 */
static int tie_order(const lw_explain_line_t *l)
{
	static const char *const order[] = { "path_busy",  "request_returned", "request_cut_off",
					     "call_ended", "request_retried",  "request_ended" };

	for (size_t i = 0; i < sizeof(order) / sizeof(order[0]); i++)
		if (strcmp(order[i], l->event) == 0)
			return (int)i;
	return 0;
}

static int by_time(const void *a, const void *b)
{
	const lw_explain_line_t *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	if (x->depth != y->depth)
		return x->depth > y->depth ? -1 : 1;
	if (tie_order(x) != tie_order(y))
		return tie_order(x) - tie_order(y);
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/* lw_explain_sort() - sorts the lines by time. */
void lw_explain_sort(lw_explain_t *e)
{
	qsort(e->lines, e->nlines, sizeof(*e->lines), by_time);
}

/*
 * lw_explain_cause() - the line that decided the outcome: the first end of the
 * deepest call, as a failed call makes all calls above it fail. NULL if no line
 * has the end of a request.
 */
const lw_explain_line_t *lw_explain_cause(const lw_explain_t *e)
{
	const lw_explain_line_t *found = NULL;

	for (size_t i = 0; i < e->nlines; i++) {
		const lw_explain_line_t *l = &e->lines[i];

		if (strcmp(l->event, "request_ended") == 0 && (!found || l->depth > found->depth))
			found = l;
	}
	return found;
}

/*
 * Returns whether @why is a refusal for lack of capacity, which a limit announced
 * by the servers can cause.
 */
static bool is_full(const char *why)
{
	return strcmp(why, "busy") == 0 || strcmp(why, "expired") == 0 ||
	       strcmp(why, "path_busy") == 0;
}

/* whether the exit of a node interrupted the call that ended with @l */
static bool was_cut_off(const lw_explain_t *e, const lw_explain_line_t *l)
{
	for (size_t i = 0; i < e->nlines; i++)
		if (e->lines[i].depth == l->depth &&
		    strcmp(e->lines[i].event, "request_cut_off") == 0)
			return true;
	return false;
}

static int reason_of(const lw_explain_t *e, const lw_explain_line_t *l)
{
	char why[VALUE_MAX];

	if (!l || !lw_logline_field(l->fields, "why", why, sizeof(why)))
		return -1;
	if (strcmp(why, "broken") == 0 && was_cut_off(e, l))
		snprintf(why, sizeof(why), "cut_off");
	if (is_full(why) && lw_logline_number(l->fields, "server_limit"))
		snprintf(why, sizeof(why), "server_limit");
	for (size_t i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++)
		if (strcmp(reasons[i].why, why) == 0)
			return (int)i;
	return -1;
}

/* What the caller can rely on, by the status of the request itself. */
static const char *outcome_text(const lw_explain_t *e)
{
	for (size_t i = e->nlines; i-- > 0;) {
		const lw_explain_line_t *l = &e->lines[i];

		if (l->depth || strcmp(l->event, "request_ended") != 0)
			continue;
		if (lw_logline_number(l->fields, "status") == 503)
			return "not run; the caller was told when to come back";
		return lw_logline_number(l->fields, "maybe_ran") ? "it may have run" : "not run";
	}
	return "answered by its server, or still under way";
}

/* how often the request and its calls were returned from the queue of a slower server */
static uint32_t times_returned(const lw_explain_t *e)
{
	uint32_t n = 0;

	for (size_t i = 0; i < e->nlines; i++)
		n += strcmp(e->lines[i].event, "request_returned") == 0;
	return n;
}

/*
 * lw_explain_print() - prints the result as text: one line per event, then the
 * cause.
 */
void lw_explain_print(const lw_explain_t *e, FILE *out)
{
	const lw_explain_line_t *cause = lw_explain_cause(e);
	int reason = reason_of(e, cause);
	uint32_t returned = times_returned(e);
	lw_str_t service = { NULL, 0 };

	fprintf(out, "request %s: %zu lines\n", e->id, e->nlines);
	for (size_t i = 0; i < e->nlines; i++) {
		const lw_explain_line_t *l = &e->lines[i];
		int indent = l->depth * 2 < INDENT_MAX ? (int)l->depth * 2 : INDENT_MAX;

		fprintf(out, "%s.%03" PRIu64 "  %*s%s  [%s] %s\n", l->stamp, l->at_ms % 1000,
			indent, "", l->event, l->source, l->fields);
	}
	if (cause)
		service = lw_logline_value(cause->fields, "service");
	if (service.ptr)
		fprintf(out, "decided at: %s level %u, service %.*s\n",
			cause->depth ? "a call," : "the request itself,", cause->depth,
			(int)service.len, service.ptr);
	if (reason >= 0)
		fprintf(out, "cause: %s: %s\nlook at: %s\n", reasons[reason].why,
			reasons[reason].meaning, reasons[reason].next_step);
	if (returned)
		fprintf(out,
			"note: returned %u times from the queue of a server that had become slower; "
			"each_us against usual_us in E1640 gives the pace\n",
			returned);
	fprintf(out, "outcome: %s\n", outcome_text(e));
	if (e->dropped)
		fprintf(out,
			"note: these nodes dropped %" PRIu64
			" lines to bound the log volume; lines of this request may be among them\n",
			e->dropped);
}

static json_t *line_json(const lw_explain_line_t *l)
{
	return json_pack("{s:s, s:i, s:s, s:i, s:s, s:s}", "time", l->stamp, "ms",
			 (int)(l->at_ms % 1000), "source", l->source, "depth", (int)l->depth,
			 "event", l->event, "fields", l->fields);
}

/* lw_explain_json() - prints the result as JSON, for programs. */
void lw_explain_json(const lw_explain_t *e, FILE *out)
{
	int reason = reason_of(e, lw_explain_cause(e));
	json_t *lines = json_array();
	json_t *doc;

	for (size_t i = 0; i < e->nlines; i++)
		json_array_append_new(lines, line_json(&e->lines[i]));
	doc = json_pack("{s:s, s:o, s:s, s:s, s:I}", "id", e->id, "lines", lines, "cause",
			reason >= 0 ? reasons[reason].why : "", "outcome", outcome_text(e),
			"dropped", (json_int_t)e->dropped);
	json_dumpf(doc, out, JSON_INDENT(1));
	fputc('\n', out);
	json_decref(doc);
}

/* lw_explain_free() - releases the memory held by @e. */
void lw_explain_free(lw_explain_t *e)
{
	for (size_t i = 0; i < e->nlines; i++) {
		free(e->lines[i].source);
		free(e->lines[i].stamp);
		free(e->lines[i].event);
		free(e->lines[i].fields);
	}
	free(e->lines);
	free(e->id);
	memset(e, 0, sizeof(*e));
}
