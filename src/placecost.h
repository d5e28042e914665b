/*
 * The cost of a host: how long a request is expected to take there, compared with the other hosts
 * of its service. Load pattern: servers that differ in speed, and machines that slow down for less
 * than a second at a time. Internal to placement. No I/O; the caller passes the time.
 */
#ifndef LW_PLACECOST_H
#define LW_PLACECOST_H

#include "machine.h"
#include "place.h"

/* A host as seen by one request. */
typedef struct lw_placerating {
	uint32_t busy; /* requests that execute or wait there */
	double use; /* part of its slots that is in use with one more request */
	double failures; /* recent failure rate, 0 to 1 */
	double cost; /* relative to the other hosts of the service */
	double time_us; /* expected duration; 0: unknown */
} lw_placerating_t;

bool lw_placecost_known(const lw_place_host_t *h, uint64_t now_us);
double lw_placecost_use(const lw_place_host_t *h, bool known);
double lw_placecost_failures(const lw_place_host_t *h, uint64_t now_us);
double lw_placecost_mean_us(const lw_place_service_t *s, uint32_t kind);
bool lw_placecost_explores(const lw_place_query_t *ask);
double lw_placecost_body_factor(int64_t body_length);
void lw_placecost_rate(const lw_place_host_t *h, const lw_place_query_t *ask, double mean_us,
		       lw_placerating_t *out);

#endif
