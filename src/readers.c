/* The nodes that read the store; see readers.h. */
#include "readers.h"

#include <string.h>
#include <xxhash.h>

static uint64_t weight(const char *backend)
{
	return XXH3_64bits(backend, strlen(backend));
}

/*
 * lw_readers_include() - whether the node beside the backend server at
 * @backend is one of the readers: those with the highest hash of their
 * address (rendezvous hashing), so that a change of the list moves few roles.
 */
bool lw_readers_include(const lw_serverlist_t *sl, const char *backend)
{
	uint64_t own = weight(backend);
	uint32_t above = 0;

	for (size_t i = 0; i < sl->nservers; i++)
		if (!sl->servers[i].draining && strcmp(sl->servers[i].addr, backend) != 0)
			above += weight(sl->servers[i].addr) > own;
	return above < LW_READERS;
}
