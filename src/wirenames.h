/*
 * The header names of the platform the proxy runs on, as data: src/ knows
 * what each header means, the adapter in platform/ knows its name.
 */
#ifndef LW_WIRENAMES_H
#define LW_WIRENAMES_H

#include "lwstr.h"

typedef enum lw_header {
	LW_HEADER_OTHER = 0, /* passed on unchanged */
	LW_HEADER_REQUEST_ID, /* id of one attempt of a caller; echoed in the answer */
	LW_HEADER_DEADLINE, /* milliseconds the caller will wait */
	LW_HEADER_TARGET, /* id of the backend server a request is meant for */
	LW_HEADER_CALLER, /* service of the host where a request began */
	LW_HEADER_NOT_EXECUTED, /* in answers: the request was not run */
	LW_HEADER_LOAD, /* in answers: running, waiting, slots */
	LW_HEADER_INSTANCE, /* in answers: id of the backend server */
	LW_HEADER_LEAVING, /* in answers: the backend server leaves */
	LW_HEADER_LIMIT, /* in answers: requests a second that it takes from all hosts */
	LW_HEADER_CREDENTIAL, /* the key of the caller's organisation */
	LW_HEADER_ORGANISATION, /* for backend servers: the organisation that holds the key */
	LW_HEADER_COUNT
} lw_header_t;

typedef struct lw_wirenames {
	const char *header[LW_HEADER_COUNT];
	const char *credential_scheme; /* in front of the key */
	const char *ready_path; /* asked by the platform: may callers be sent here? */
} lw_wirenames_t;

#endif
