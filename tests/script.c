/*
 * Scripted tests of the reducers: events and the effects expected of them. A
 * script is a text file:
 *   policy guard|naive zone=Z slots=N     start a reducer
 *   config FILE                           pass a configuration document
 *   at MS                                 set the clock
 *   event KIND key=value ...              pass one event
 *   fill KIND from=A to=B ...            the same event for each id A..B
 *   expect EFFECT key=value ...           the next effect must be this one
 *   expect none                           the event caused no (more) effects
 * Effects are printed as "admit id=1", "answer id=2 outcome=not_run
 * reason=overloaded", "send id=3 peer=0 attempt=1 budget=2", ...; an expected
 * line may omit fields at the end. LOG and ARM effects are omitted. Lines
 * starting with # are comments.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lwtest.h"
#include "policy.h"

static const char *const kinds[] = { "admit",  "queue",	  "answer", "replay", "lookup", "send",
				     "record", "release", "arm",    "log",    "exit" };

static const char *const record_states[] = { "none", "running", "done", "maybe", "refused" };

static void fx_str(const lw_effect_t *e, char *buf, size_t len)
{
	switch (e->kind) {
	case LW_FX_ANSWER:
		snprintf(buf, len, "answer id=%llu outcome=%s reason=%s", (unsigned long long)e->id,
			 lw_outcome_name(e->outcome), lw_reason_name(e->reason));
		break;
	case LW_FX_SEND:
		snprintf(buf, len, "send id=%llu peer=%d attempt=%u budget=%u depth=%u",
			 (unsigned long long)e->id, e->peer, e->attempt, e->retry_budget, e->depth);
		break;
	case LW_FX_RECORD:
		snprintf(buf, len, "record id=%llu state=%s", (unsigned long long)e->id,
			 record_states[e->record]);
		break;
	case LW_FX_RELEASE:
	case LW_FX_EXIT:
		snprintf(buf, len, "%s", kinds[e->kind]);
		break;
	default:
		snprintf(buf, len, "%s id=%llu", kinds[e->kind], (unsigned long long)e->id);
	}
}

static long kv(const char *line, const char *key, long dflt)
{
	char pat[32];
	const char *p;

	snprintf(pat, sizeof(pat), " %s=", key);
	p = strstr(line, pat);
	return p ? strtol(p + strlen(pat), NULL, 10) : dflt;
}

static int kv_class(const char *line)
{
	if (strstr(line, "class=critical"))
		return LW_CLASS_CRITICAL;
	if (strstr(line, "class=sheddable"))
		return LW_CLASS_SHEDDABLE;
	return LW_CLASS_DEFAULT;
}

static const struct {
	const char *name;
	lw_outcome_t o;
	lw_reason_t r;
} outcomes[] = {
	{ "done", LW_DONE, LW_R_NONE },
	{ "not_run", LW_NOT_RUN, LW_R_OVERLOADED },
	{ "refused", LW_NOT_RUN, LW_R_NO_BACKEND },
	{ "timeout", LW_UNKNOWN, LW_R_TIMEOUT },
	{ "draining", LW_NOT_RUN, LW_R_DRAINING },
};

static void parse_event(const char *line, uint64_t now, lw_event_t *ev)
{
	static const char *const names[LW_EV_COUNT] = { "in_request",  "in_record", "in_done",
							"out_request", "out_reply", "peer_state",
							"query",       "tick",	    "config",
							"drain" };
	char kind[32] = "";

	memset(ev, 0, sizeof(*ev));
	sscanf(line, "event %31s", kind);
	for (int i = 0; i < LW_EV_COUNT; i++)
		if (strcmp(kind, names[i]) == 0)
			ev->kind = (lw_event_kind_t)i;
	ev->now_ms = now;
	ev->id = (uint64_t)kv(line, "id", 0);
	ev->cls = (lw_class_t)kv_class(line);
	ev->deadline_ms = (uint32_t)kv(line, "deadline", 1000);
	ev->retry_budget = (uint32_t)kv(line, "budget", 2);
	ev->idem_key.lo = (uint64_t)kv(line, "key", 0);
	ev->attempt_key.lo = (uint64_t)kv(line, "attempt", 0);
	ev->repeat = kv(line, "repeat", 0) != 0;
	ev->refuse = kv(line, "refuse", 0) != 0;
	ev->depth = (uint32_t)kv(line, "depth", 0);
	ev->parent = (uint64_t)kv(line, "parent", 0);
	ev->incarnation = (uint64_t)kv(line, "incarnation", 1);
	ev->retries_used = (uint32_t)kv(line, "used", 0);
	ev->load_permille = (uint32_t)kv(line, "load", 0);
	ev->idempotent = kv(line, "idempotent", 1) != 0;
	ev->service = (uint32_t)kv(line, "service", 0);
	ev->peer = (int)kv(line, "peer", -1);
	ev->latency_ms = (uint32_t)kv(line, "latency", 1);
	ev->draining = kv(line, "draining", 0) != 0;
	ev->no_retry = kv(line, "no_retry", 0) != 0;
	for (size_t i = 0; i < sizeof(outcomes) / sizeof(outcomes[0]); i++) {
		char pat[32];

		snprintf(pat, sizeof(pat), "outcome=%s", outcomes[i].name);
		if (strstr(line, pat)) {
			ev->outcome = outcomes[i].o;
			ev->reason = outcomes[i].r;
			/* a refused connection or a lost reply: the peer did not answer */
			ev->reached = ev->reason != LW_R_NO_BACKEND && ev->reason != LW_R_TIMEOUT;
		}
	}
	if ((ev->kind == LW_EV_IN_DONE || ev->kind == LW_EV_IN_RECORD) && ev->outcome == LW_DONE) {
		ev->answer = (void *)(uintptr_t)(ev->id + 1000); /* a placeholder handle */
		ev->answer_bytes = (size_t)kv(line, "bytes", 100);
	}
}

static char *load(const char *path, size_t *len)
{
	FILE *f = fopen(path, "rb");
	char *buf;

	if (!f)
		return NULL;
	buf = calloc(1, 1 << 20);
	*len = fread(buf, 1, (1 << 20) - 1, f);
	fclose(f);
	return buf;
}

/* whether @got, or its beginning up to the end of a field, equals @want */
static bool matches(const char *got, const char *want)
{
	size_t n = strlen(want);

	return strlen(got) >= n && memcmp(got, want, n) == 0 && (got[n] == '\0' || got[n] == ' ');
}

/*
 * script_run() - run the script at @path; 0 if all expectations are met, else
 * -1 with the first mismatch written to @why.
 */
int script_run(const char *path, char *why, size_t whylen)
{
	FILE *f = fopen(path, "r");
	char line[512], got[160];
	lw_policy_t *p = NULL;
	lw_platconf_t *pcs[8];
	int npc = 0, lineno = 0, rc = 0;
	lw_effects_t fx = { 0 };
	size_t next = 0;
	uint64_t now = 0;

	if (!f) {
		snprintf(why, whylen, "cannot open %s", path);
		return -1;
	}
	while (rc == 0 && fgets(line, sizeof(line), f)) {
		lineno++;
		line[strcspn(line, "\n")] = '\0';
		if (line[0] == '#' || line[0] == '\0')
			continue;
		if (strncmp(line, "policy ", 7) == 0) {
			char name[16], zone[32] = "hala-a";
			const char *z = strstr(line, "zone=");

			sscanf(line, "policy %15s", name);
			if (z)
				sscanf(z, "zone=%31s", zone);
			p = lw_policy_new(name, zone, (uint32_t)kv(line, "slots", 4), 42);
		} else if (strncmp(line, "config ", 7) == 0 && p && npc < 8) {
			char cpath[1024], dir[512];
			size_t len;
			char *text;
			const char *slash = strrchr(path, '/');

			snprintf(dir, sizeof(dir), "%.*s", slash ? (int)(slash - path) : 1,
				 slash ? path : ".");
			snprintf(cpath, sizeof(cpath), "%s/%s", dir, line + 7);
			text = load(cpath, &len);
			if (!text || lw_platconf_parse(text, len, &pcs[npc])) {
				snprintf(why, whylen, "%s:%d: config %s: %s", path, lineno, cpath,
					 text ? lw_error_last() : "cannot open");
				rc = -1;
			} else {
				lw_event_t ev = { .kind = LW_EV_CONFIG,
						  .now_ms = now,
						  .config = pcs[npc++] };

				fx.n = next = 0;
				p->ops->step(p, &ev, &fx);
			}
			free(text);
		} else if (strncmp(line, "at ", 3) == 0) {
			now = strtoull(line + 3, NULL, 10);
		} else if (strncmp(line, "event ", 6) == 0 && p) {
			lw_event_t ev;

			parse_event(line, now, &ev);
			fx.n = next = 0;
			p->ops->step(p, &ev, &fx);
		} else if (strncmp(line, "fill ", 5) == 0 && p) {
			/* fill KIND from=A to=B ...: the same event with each id from A to B */
			for (long id = kv(line, "from", 0); id <= kv(line, "to", -1); id++) {
				lw_event_t ev;

				snprintf(got, sizeof(got), "event %.120s", line + 5);
				parse_event(got, now, &ev);
				ev.id = (uint64_t)id;
				fx.n = next = 0;
				p->ops->step(p, &ev, &fx);
			}
		} else if (strncmp(line, "expect ", 7) == 0) {
			while (next < fx.n &&
			       (fx.fx[next].kind == LW_FX_LOG || fx.fx[next].kind == LW_FX_ARM))
				next++;
			if (strcmp(line + 7, "none") == 0) {
				if (next < fx.n) {
					fx_str(&fx.fx[next], got, sizeof(got));
					snprintf(why, whylen, "%s:%d: expected no effect, got '%s'",
						 path, lineno, got);
					rc = -1;
				}
				continue;
			}
			if (next == fx.n) {
				snprintf(why, whylen, "%s:%d: expected '%s', got nothing", path,
					 lineno, line + 7);
				rc = -1;
				continue;
			}
			fx_str(&fx.fx[next++], got, sizeof(got));
			if (!matches(got, line + 7)) {
				snprintf(why, whylen, "%s:%d: expected '%s', got '%s'", path,
					 lineno, line + 7, got);
				rc = -1;
			}
		} else {
			snprintf(why, whylen, "%s:%d: cannot read '%s'", path, lineno, line);
			rc = -1;
		}
	}
	fclose(f);
	lw_effects_free(&fx);
	if (p)
		p->ops->destroy(p);
	for (int i = 0; i < npc; i++)
		lw_platconf_free(pcs[i]);
	return rc;
}

static char script_dir[256];
static char script_names[64][128];
static int nscripts;

/* CUnit runs the tests of a suite in order, so one function serves them all. */
static void run_next(void)
{
	static int next;
	char path[512], why[512] = "";

	snprintf(path, sizeof(path), "%s/%s", script_dir, script_names[next++]);
	if (script_run(path, why, sizeof(why)))
		fprintf(stderr, "\n  %s\n", why);
	CU_ASSERT_STRING_EQUAL(why, "");
}

static int by_name(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* suite_scripts() - one CUnit test per *.txt script of @dir (64 at most). */
void suite_scripts(const char *dir)
{
	CU_pSuite s = CU_add_suite("scripts", NULL, NULL);
	DIR *d = opendir(dir);
	struct dirent *e;

	snprintf(script_dir, sizeof(script_dir), "%s", dir);
	while (d && (e = readdir(d)) && nscripts < 64) {
		size_t n = strlen(e->d_name);

		if (n > 4 && strcmp(e->d_name + n - 4, ".txt") == 0)
			snprintf(script_names[nscripts++], sizeof(script_names[0]), "%s",
				 e->d_name);
	}
	if (d)
		closedir(d);
	qsort(script_names, (size_t)nscripts, sizeof(script_names[0]), by_name);
	for (int i = 0; i < nscripts; i++)
		CU_add_test(s, script_names[i], run_next);
}
