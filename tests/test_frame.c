/* Tests of the frame codec. */
#include <stdlib.h>
#include <string.h>

#include "frame.h"
#include "lwtest.h"

static void frame_round_trip(void)
{
	Lw__Frame f = LW__FRAME__INIT, *back;
	Lw__Request r = LW__REQUEST__INIT;
	uint8_t *buf;
	size_t n;

	r.request_id = 42;
	r.deadline_ms = 250;
	r.class_ = LW__CLASS__CLASS_CRITICAL;
	r.idempotency_key = "k1";
	r.route = "billing-svc/renew";
	f.body_case = LW__FRAME__BODY_REQUEST;
	f.request = &r;
	n = lw_frame_encode(&f, &buf);
	CU_ASSERT_EQUAL((size_t)(buf[0] << 24 | buf[1] << 16 | buf[2] << 8 | buf[3]), n - 4);
	CU_ASSERT_EQUAL_FATAL(lw_frame_decode(buf + 4, n - 4, &back), LW_OK);
	CU_ASSERT_EQUAL(back->request->request_id, 42);
	CU_ASSERT_EQUAL(back->request->deadline_ms, 250);
	CU_ASSERT_STRING_EQUAL(back->request->route, "billing-svc/renew");
	lw_frame_free(back);
	free(buf);
}

/*
 * Guards against a crash or a huge allocation on an invalid frame. A peer of another
 * version, or a corrupted connection, sends bytes that are not a frame; the decoder must
 * reject them with a typed error.
 */
static void frame_garbage_refused(void)
{
	const uint8_t junk[] = { 0xff, 0xff, 0xff, 0xff, 0x0f };
	Lw__Frame *f;

	CU_ASSERT_EQUAL(lw_frame_decode(junk, sizeof(junk), &f), LW_ERR_PROTO);
	CU_ASSERT_PTR_NULL(f);
	CU_ASSERT_EQUAL(lw_frame_decode(junk, 0, &f), LW_ERR_PROTO); /* no body */
}

void suite_frame(void)
{
	CU_pSuite s = CU_add_suite("frame", NULL, NULL);

	CU_add_test(s, "frame_round_trip", frame_round_trip);
	CU_add_test(s, "frame_garbage_refused", frame_garbage_refused);
}
