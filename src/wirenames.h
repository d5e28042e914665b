/*
 * The names of headers and paths of the platform the proxy runs on. src/ defines
 * what each header means; the adapter in platform/ supplies its name.
 */
#ifndef LW_WIRENAMES_H
#define LW_WIRENAMES_H

#include "lwstr.h"

typedef enum lw_header {
	LW_HEADER_OTHER = 0, /* forwarded unchanged */
	LW_HEADER_REQUEST_ID, /* id of one attempt of a caller; echoed in the answer */
	LW_HEADER_DEADLINE, /* milliseconds the caller will wait */
	LW_HEADER_TARGET, /* id of the backend server a request is meant for */
	LW_HEADER_CALLER, /* service of the host where the request was first received */
	LW_HEADER_NOT_EXECUTED, /* in answers: the request was not executed */
	LW_HEADER_LOAD, /* in answers: requests in progress, requests queued, slots */
	LW_HEADER_INSTANCE, /* in answers: id of the backend server */
	LW_HEADER_LEAVING, /* in answers: the backend server is leaving */
	LW_HEADER_LIMIT, /* in answers: limit on requests per second from all hosts */
	LW_HEADER_CREDENTIAL, /* API key of the caller's organisation */
	LW_HEADER_ORGANISATION, /* for backend servers: the organisation of the key */
	LW_HEADER_COUNT
} lw_header_t;

typedef struct lw_wirenames {
	const char *header[LW_HEADER_COUNT];
	const char *credential_scheme; /* authentication scheme in front of the key */
	const char *ready_path; /* path of the platform's readiness check */
} lw_wirenames_t;

#endif
