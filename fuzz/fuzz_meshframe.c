/* libFuzzer target: frames between lwproxy processes, and what is read out of them. */
#include <stdint.h>

#include "meshframe.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void read_parts(const Lw__MeshFrame *f)
{
	lw_load_t load;

	if (f->body_case == LW__MESH_FRAME__BODY_ANSWER)
		lw_meshframe_read_load(f->answer->load, &load);
	else if (f->body_case == LW__MESH_FRAME__BODY_FAILED)
		lw_meshframe_read_load(f->failed->load, &load);
	else if (f->body_case == LW__MESH_FRAME__BODY_STATUS)
		lw_meshframe_read_load(f->status->load, &load);
	else if (f->body_case == LW__MESH_FRAME__BODY_SERVERS)
		lw_serverlist_free(lw_meshframe_read_servers(f->servers));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	size_t at = 0;

	while (at < len) {
		Lw__MeshFrame *f;
		ssize_t used = lw_meshframe_next((const char *)data + at, len - at, &f);

		if (used <= 0)
			break;
		read_parts(f);
		lw_meshframe_done(f);
		at += (size_t)used;
	}
	return 0;
}
