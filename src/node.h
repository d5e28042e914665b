/*
 * The node: the I/O around one reducer (policy.h). It serves callers and the
 * outbound calls of its backend server over HTTP, peers over protobuf frames
 * and operators on the admin port, and it watches the configuration service.
 * It turns all input into events for the reducer.
 */
#ifndef LW_NODE_H
#define LW_NODE_H

#include <stdbool.h>

#include "settings.h"
#include "status.h"

typedef struct lw_node lw_node_t;

lw_status_t lw_node_start(const lw_settings_t *s, lw_node_t **out);
void lw_node_drain(lw_node_t *n);
bool lw_node_drained(lw_node_t *n);
int lw_node_wait(lw_node_t *n);
void lw_node_stop(lw_node_t *n);

#endif
