/* Organisations and their API keys; see organisation.h. */
#include "organisation.h"

#include <nettle/memops.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "name.h"
#include "xalloc.h"

/* slots of the hash table per key: at most half of the slots are used */
#define SLOTS_PER_KEY 2

/* a key; its text is stored in lw_orgs.text */
typedef struct lw_orgkey {
	uint64_t digest;
	uint32_t at;
	uint32_t len;
	uint32_t org; /* index plus one; 0: the slot is free */
} lw_orgkey_t;

struct lw_orgs {
	lw_organisation_t *orgs;
	size_t norgs;
	lw_orgkey_t *keys; /* in the order of addition; NULL once sealed */
	size_t nkeys;
	char *text; /* concatenated text of all keys */
	size_t textlen;
	lw_orgkey_t *slots; /* hash table with linear probing, once sealed */
	size_t nslots; /* a power of two */
};

/* lw_orgs_new() - an empty table. */
lw_orgs_t *lw_orgs_new(void)
{
	return xcalloc(1, sizeof(lw_orgs_t));
}

/* lw_orgs_free() - release the table; NULL is fine. */
void lw_orgs_free(lw_orgs_t *o)
{
	if (!o)
		return;
	free(o->orgs);
	free(o->keys);
	free(o->text);
	free(o->slots);
	free(o);
}

/*
 * lw_orgs_add() - add an organisation; keys added from now on are its keys. The pointer is
 * valid until the next call.
 */
lw_organisation_t *lw_orgs_add(lw_orgs_t *o, lw_str_t name)
{
	lw_organisation_t *org;

	o->orgs = xrealloc(o->orgs, (o->norgs + 1) * sizeof(*org));
	org = &o->orgs[o->norgs++];
	memset(org, 0, sizeof(*org));
	org->name = lw_name(name);
	org->id = XXH3_64bits(name.ptr, name.len);
	return org;
}

/*
 * lw_orgs_add_key() - add a key of the last added organisation; an empty key
 * never matches.
 */
void lw_orgs_add_key(lw_orgs_t *o, lw_str_t key)
{
	lw_orgkey_t *k;

	if (!o->norgs || !key.len)
		return;
	o->keys = xrealloc(o->keys, (o->nkeys + 1) * sizeof(*k));
	o->text = xrealloc(o->text, o->textlen + key.len);
	memcpy(o->text + o->textlen, key.ptr, key.len);
	k = &o->keys[o->nkeys++];
	*k = (lw_orgkey_t){ .digest = XXH3_64bits(key.ptr, key.len),
			    .at = (uint32_t)o->textlen,
			    .len = (uint32_t)key.len,
			    .org = (uint32_t)o->norgs };
	o->textlen += key.len;
}

/* compares in constant time, so that the duration reveals nothing about a key */
static bool key_matches(const lw_orgs_t *o, const lw_orgkey_t *k, uint64_t digest, lw_str_t key)
{
	return k->digest == digest && k->len == key.len &&
	       nettle_memeql_sec(o->text + k->at, key.ptr, key.len);
}

/* the slot of @key in the table, or the free slot where it would be inserted */
static lw_orgkey_t *slot_of(const lw_orgs_t *o, uint64_t digest, lw_str_t key)
{
	size_t at = digest & (o->nslots - 1);

	while (o->slots[at].org && !key_matches(o, &o->slots[at], digest, key))
		at = (at + 1) & (o->nslots - 1);
	return &o->slots[at];
}

static size_t slots_for(size_t nkeys)
{
	size_t n = 1;

	while (n < nkeys * SLOTS_PER_KEY + 1)
		n *= 2;
	return n;
}

/*
 * lw_orgs_finish() - build the hash table; call once after the last key is added.
 * LW_ERR_CONFIG if two organisations have the same key, as requests with that key could
 * not be attributed to either.
 */
lw_status_t lw_orgs_finish(lw_orgs_t *o)
{
	o->nslots = slots_for(o->nkeys);
	o->slots = xcalloc(o->nslots, sizeof(*o->slots));
	for (size_t i = 0; i < o->nkeys; i++) {
		const lw_orgkey_t *k = &o->keys[i];
		lw_orgkey_t *slot = slot_of(o, k->digest, (lw_str_t){ o->text + k->at, k->len });

		if (slot->org && slot->org != k->org)
			return lw_error(
				LW_ERR_CONFIG,
				"organisations %s and %s hold the same key; give each its own",
				o->orgs[slot->org - 1].name, o->orgs[k->org - 1].name);
		*slot = *k;
	}
	free(o->keys);
	o->keys = NULL;
	return LW_OK;
}

/* lw_orgs_count() - number of organisations. */
size_t lw_orgs_count(const lw_orgs_t *o)
{
	return o->norgs;
}

/* lw_orgs_at() - the organisation with index @i. */
const lw_organisation_t *lw_orgs_at(const lw_orgs_t *o, size_t i)
{
	return &o->orgs[i];
}

/* lw_orgs_by_key() - the organisation with the key @key; NULL if there is none. */
const lw_organisation_t *lw_orgs_by_key(const lw_orgs_t *o, lw_str_t key)
{
	const lw_orgkey_t *slot;

	if (!key.len)
		return NULL;
	slot = slot_of(o, XXH3_64bits(key.ptr, key.len), key);
	return slot->org ? &o->orgs[slot->org - 1] : NULL;
}
