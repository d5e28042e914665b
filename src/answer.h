/*
 * A complete answer of a backend server, with a reference count. It is shared by the caller that
 * waits for the answer and the records of the reducer, which replay it.
 */
#ifndef LW_ANSWER_H
#define LW_ANSWER_H

#include <stddef.h>
#include <stdint.h>

typedef struct lw_answer {
	int refs;
	int status; /* HTTP status of the backend server */
	char *body;
	size_t len;
	uint32_t retries_used; /* retries used by nested calls */
} lw_answer_t;

lw_answer_t *lw_answer_new(int refs, int status, char *body, size_t len, uint32_t retries_used);
lw_answer_t *lw_answer_ref(lw_answer_t *a);
void lw_answer_unref(lw_answer_t *a);

#endif
