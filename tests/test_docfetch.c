/*
 * Distribution of documents between nodes: encoding as a difference, rejection of corrupt
 * data, and a randomised search over lost, delayed and duplicate messages.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "docfetch.h"
#include "lwtest.h"

#define LINES	 2000
#define LINE_LEN 64

/* returns a document of many lines, a few of which depend on @version */
static lw_str_t text_of(uint64_t version, size_t lines)
{
	static char text[LINES * LINE_LEN];
	size_t len = 0;
	uint32_t rng = 1;

	for (size_t i = 0; i < lines; i++) {
		rng = rng * 1664525 + 1013904223;
		len += (size_t)snprintf(text + len, LINE_LEN, "route %08x of version %llu\n", rng,
					(unsigned long long)(i < 3 ? version : 0));
	}
	return (lw_str_t){ text, len };
}

static void test_only_differences_are_sent(void)
{
	lw_revdoc_t from = { 0 }, to = { 0 };
	lw_revdoc_encoded_t e;
	lw_str_t text;
	char *got;

	CU_ASSERT_TRUE(lw_revdoc_put(&from, 1, text_of(1, LINES)));
	CU_ASSERT_TRUE(lw_revdoc_put(&to, 1, text_of(1, LINES)));
	text = text_of(2, LINES);
	CU_ASSERT_TRUE(lw_revdoc_put(&from, 2, text));
	e = *lw_revdoc_encode(&from, lw_revdoc_hash(&to));
	CU_ASSERT_TRUE(e.len < 512);
	CU_ASSERT_EQUAL_FATAL(lw_revdoc_decode(&to, &e, &got), LW_OK);
	CU_ASSERT_EQUAL(e.length, text.len);
	CU_ASSERT_EQUAL(memcmp(got, text.ptr, text.len), 0);
	free(got);
	/* a node without any version is sent the whole document */
	e = *lw_revdoc_encode(&from, 0);
	CU_ASSERT_EQUAL(e.base, 0);
	CU_ASSERT_TRUE(e.len > 10 * 512);
	lw_revdoc_free(&from);
	lw_revdoc_free(&to);
}

static void test_identical_text_is_no_change(void)
{
	lw_revdoc_t d = { 0 };

	CU_ASSERT_TRUE(lw_revdoc_put(&d, 5, LW_STR("a")));
	CU_ASSERT_FALSE(lw_revdoc_put(&d, 6, LW_STR("a")));
	CU_ASSERT_EQUAL(lw_revdoc_version(&d), 6);
	CU_ASSERT_FALSE(lw_revdoc_put(&d, 4, LW_STR("b")));
	CU_ASSERT_EQUAL(lw_revdoc_version(&d), 6);
	CU_ASSERT_EQUAL(lw_revdoc_encode(&d, 0)->version, 6);
	lw_revdoc_free(&d);
}

static void test_corrupt_is_rejected(void)
{
	lw_revdoc_t from = { 0 }, to = { 0 };
	lw_revdoc_encoded_t e;
	char *got;

	lw_revdoc_put(&from, 1, text_of(1, 20));
	e = *lw_revdoc_encode(&from, 0);
	e.hash++;
	CU_ASSERT_EQUAL(lw_revdoc_decode(&to, &e, &got), LW_ERR_PROTO);
	e.hash--;
	e.length = LW_REVDOC_MAX_BYTES + 1;
	CU_ASSERT_EQUAL(lw_revdoc_decode(&to, &e, &got), LW_ERR_PROTO);
	e.length = 10;
	CU_ASSERT_EQUAL(lw_revdoc_decode(&to, &e, &got), LW_ERR_PROTO);
	e = *lw_revdoc_encode(&from, 0);
	e.base = 77;
	CU_ASSERT_EQUAL(lw_revdoc_decode(&to, &e, &got), LW_ERR_PROTO);
	lw_revdoc_free(&from);
}

static void test_chunks_out_of_order_are_ignored(void)
{
	lw_docfetch_t f = { 0 };
	lw_revdoc_t d = { 0 };
	lw_docfetch_request_t ask;
	lw_docfetch_chunk_t p = { .of = { .version = 3, .len = 9, .length = 20 },
				  .bytes = LW_STR("abc") };
	char *got;
	int source = 0, other = 0;

	CU_ASSERT_EQUAL(lw_docfetch_receive(&f, &source, &d, &p, 0, &ask, &got),
			LW_DOCFETCH_IGNORED);
	lw_docfetch_start(&f, &source, &d, 0, &ask);
	CU_ASSERT_EQUAL(lw_docfetch_receive(&f, &other, &d, &p, 0, &ask, &got),
			LW_DOCFETCH_IGNORED);
	CU_ASSERT_EQUAL(lw_docfetch_receive(&f, &source, &d, &p, 0, &ask, &got), LW_DOCFETCH_MORE);
	CU_ASSERT_EQUAL(ask.offset, 3);
	p.offset = 6;
	CU_ASSERT_EQUAL(lw_docfetch_receive(&f, &source, &d, &p, 0, &ask, &got),
			LW_DOCFETCH_IGNORED);
	p.offset = 10;
	CU_ASSERT_EQUAL(lw_docfetch_receive(&f, &source, &d, &p, 0, &ask, &got),
			LW_DOCFETCH_IGNORED);
	p.offset = 3;
	p.of.version = 4;
	CU_ASSERT_EQUAL(lw_docfetch_receive(&f, &source, &d, &p, 0, &ask, &got),
			LW_DOCFETCH_IGNORED);
	CU_ASSERT_FALSE(lw_docfetch_can_start(&f, LW_DOCFETCH_TIMEOUT_US));
	CU_ASSERT_TRUE(lw_docfetch_can_start(&f, LW_DOCFETCH_TIMEOUT_US + 1));
	lw_docfetch_source_lost(&f, &source);
	CU_ASSERT_TRUE(lw_docfetch_can_start(&f, 0));
}

/*
 * Randomised search: nodes fetch from each other over connections that lose, delay and
 * duplicate frames.
 */

#define NODES	     4
#define FRAMES	     12
#define RUNS	     400
#define STEPS	     250
#define STEP_US	     20000
#define SETTLE_STEPS 2000
/* the size of a chunk is fixed, so the text must be long enough for several chunks */
#define RANDOM_TEST_LINES 900

typedef struct frame {
	bool in_use;
	bool is_piece;
	int from, to;
	/* sum of both nodes' eras: a frame sent before one of them restarted is never delivered */
	uint32_t era;
	lw_docfetch_request_t ask;
	lw_docfetch_chunk_t piece;
	char *bytes;
} frame_t;

static struct {
	lw_revdoc_t doc[NODES];
	lw_docfetch_t fetch[NODES];
	uint32_t era[NODES];
	frame_t frame[FRAMES];
	uint64_t now_us;
	uint64_t newest;
	uint32_t rng;
	unsigned violations;
} run;

static uint32_t random_below(uint32_t below)
{
	run.rng = run.rng * 1664525 + 1013904223;
	return (run.rng >> 8) % below;
}

static void send_frame(const frame_t *f)
{
	for (size_t i = 0; i < FRAMES; i++) {
		if (run.frame[i].in_use)
			continue;
		run.frame[i] = *f;
		run.frame[i].in_use = true;
		run.frame[i].era = run.era[f->from] + run.era[f->to];
		if (f->is_piece) {
			run.frame[i].bytes = malloc(f->piece.bytes.len);
			memcpy(run.frame[i].bytes, f->piece.bytes.ptr, f->piece.bytes.len);
			run.frame[i].piece.bytes.ptr = run.frame[i].bytes;
		}
		return;
	}
}

static void drop_frame(frame_t *f)
{
	free(f->bytes);
	memset(f, 0, sizeof(*f));
}

static void send_request(int node, int source, const lw_docfetch_request_t *ask)
{
	send_frame(&(frame_t){ .from = node, .to = source, .ask = *ask });
}

static void start_fetch(int node, int source)
{
	lw_docfetch_request_t ask;

	if (source == node ||
	    lw_revdoc_version(&run.doc[source]) <= lw_revdoc_version(&run.doc[node]) ||
	    !lw_docfetch_can_start(&run.fetch[node], run.now_us))
		return;
	lw_docfetch_start(&run.fetch[node], &run.doc[source], &run.doc[node], run.now_us, &ask);
	send_request(node, source, &ask);
}

static void receive_chunk(const frame_t *f)
{
	uint64_t before = lw_revdoc_version(&run.doc[f->to]);
	lw_docfetch_request_t ask;
	lw_str_t want;
	char *got;

	switch (lw_docfetch_receive(&run.fetch[f->to], &run.doc[f->from], &run.doc[f->to],
				    &f->piece, run.now_us, &ask, &got)) {
	case LW_DOCFETCH_MORE:
		send_request(f->to, f->from, &ask);
		break;
	case LW_DOCFETCH_DONE:
		want = text_of(f->piece.of.version, RANDOM_TEST_LINES);
		run.violations += f->piece.of.length != want.len || memcmp(got, want.ptr, want.len);
		lw_revdoc_put(&run.doc[f->to], f->piece.of.version,
			      (lw_str_t){ got, f->piece.of.length });
		run.violations += lw_revdoc_version(&run.doc[f->to]) < before;
		free(got);
		break;
	default:
		break;
	}
}

static void deliver_frame(frame_t *f, bool again)
{
	frame_t now = *f;
	frame_t reply = { .from = f->to, .to = f->from, .is_piece = true };

	if (f->era == run.era[f->from] + run.era[f->to]) {
		if (f->is_piece)
			receive_chunk(&now);
		else if (lw_docfetch_chunk(&run.doc[f->to], &f->ask, &reply.piece))
			send_frame(&reply);
	}
	if (!again)
		drop_frame(f);
}

static void restart_node(int node)
{
	lw_revdoc_free(&run.doc[node]);
	for (int i = 0; i < NODES; i++)
		lw_docfetch_source_lost(&run.fetch[i], &run.doc[node]);
	free(run.fetch[node].got.bytes);
	memset(&run.fetch[node], 0, sizeof(run.fetch[node]));
	run.era[node] += 1000;
}

/* publishes a new version in the store, which node 0 reads */
static void publish_version(void)
{
	run.newest++;
	lw_revdoc_put(&run.doc[0], run.newest, text_of(run.newest, RANDOM_TEST_LINES));
}

static void random_step(bool faults)
{
	frame_t *f = &run.frame[random_below(FRAMES)];
	uint32_t what = random_below(100);

	run.now_us += random_below(STEP_US);
	if (faults && what < 3)
		restart_node(1 + (int)random_below(NODES - 1));
	else if (faults && what < 9)
		publish_version();
	else if (what < 40)
		start_fetch((int)random_below(NODES), (int)random_below(NODES));
	else if (f->in_use && faults && what < 50)
		drop_frame(f);
	else if (f->in_use)
		deliver_frame(f, faults && what < 55);
}

static void test_random_faults(void)
{
	unsigned outdated = 0;

	for (uint32_t seed = 1; seed <= RUNS; seed++) {
		memset(&run.era, 0, sizeof(run.era));
		run.rng = seed;
		run.newest = 0;
		for (int i = 0; i < STEPS; i++)
			random_step(true);
		publish_version();
		for (int i = 0; i < SETTLE_STEPS; i++)
			random_step(false);
		for (int i = 0; i < NODES; i++) {
			outdated += lw_revdoc_version(&run.doc[i]) != run.newest;
			restart_node(i);
		}
		for (int i = 0; i < FRAMES; i++)
			drop_frame(&run.frame[i]);
	}
	CU_ASSERT_EQUAL(run.violations, 0);
	CU_ASSERT_EQUAL(outdated, 0);
}

void suite_docfetch(void)
{
	CU_pSuite s = CU_add_suite("docfetch", NULL, NULL);

	CU_add_test(s, "only the difference between versions is sent",
		    test_only_differences_are_sent);
	CU_add_test(s, "an identical text is not a change", test_identical_text_is_no_change);
	CU_add_test(s, "a corrupt document is rejected", test_corrupt_is_rejected);
	CU_add_test(s, "chunks out of order are ignored", test_chunks_out_of_order_are_ignored);
	CU_add_test(
		s,
		"lost or reordered frames and restarts never revert a version or leave a node outdated",
		test_random_faults);
}
