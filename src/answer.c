/* Reference-counted answers; see answer.h. */
#include "answer.h"

#include <stdlib.h>

#include "xalloc.h"

/* lw_answer_new() - create an answer with @refs references; takes ownership of @body. */
lw_answer_t *lw_answer_new(int refs, int status, char *body, size_t len, uint32_t retries_used)
{
	lw_answer_t *a = xcalloc(1, sizeof(*a));

	a->refs = refs;
	a->status = status;
	a->body = body;
	a->len = len;
	a->retries_used = retries_used;
	return a;
}

/* lw_answer_ref() - add a reference; @a may be NULL. */
lw_answer_t *lw_answer_ref(lw_answer_t *a)
{
	if (a)
		__atomic_add_fetch(&a->refs, 1, __ATOMIC_RELAXED);
	return a;
}

/* lw_answer_unref() - drop a reference; the last one frees the answer. @a may be NULL. */
void lw_answer_unref(lw_answer_t *a)
{
	if (!a || __atomic_sub_fetch(&a->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	free(a->body);
	free(a);
}
