/* libFuzzer target: parsers of the documents in the configuration store, and route matching. */
#include <stdint.h>

#include "../platform/documents.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	lw_fleetconf_t *fc;
	lw_server_entry_t e;

	if (!lw_document_config((const char *)data, len, &fc)) {
		lw_fleet_route_t *r =
			lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/x/y/z?q"));

		if (r && r->nsplits)
			lw_fleet_route_next(r);
		lw_fleetconf_free(fc);
	}
	lw_document_server((const char *)data, len, "i-1", &e);
	return 0;
}
