/*
 * libFuzzer target: the frame decoder, and the conversion of a decoded request
 * frame. Both must return a status for any input.
 */
#include <stdint.h>
#include <stdlib.h>

#include "frame.h"
#include "request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	Lw__Frame *f;
	lw_request_t rq;
	uint8_t *again;

	if (lw_frame_decode(data, len, &f))
		return 0;
	if (f->body_case == LW__FRAME__BODY_REQUEST)
		lw_request_from_frame(f->request, NULL, &rq);
	lw_frame_encode(f, &again);
	free(again);
	lw_frame_free(f);
	return 0;
}
