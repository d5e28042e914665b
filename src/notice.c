/* What backend servers announce of themselves; see notice.h. */
#include "notice.h"

/*
 * lw_notice_field() - take over one header of an answer, of a known @meaning, into
 * @said, which is all zeroes before the first.
 */
void lw_notice_field(lw_notice_said_t *said, lw_header_t meaning, lw_str_t value)
{
	if (meaning == LW_HEADER_LEAVING)
		said->leaving |= lw_str_eq_c(value, "1");
}
