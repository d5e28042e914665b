/* Usage reports to the quota coordinators, and their replies. */
#include "mesh_int.h"

/* limit for entries in one frame, whose count may be arbitrary */
#define ENTRIES_MAX 4096
/* maximum demand in requests a second; sent in thousandths */
#define DEMAND_MAX (UINT32_MAX / 1000)

/* buffers for the frame that is being encoded or processed */
static lw_quota_usage_t uses_in[ENTRIES_MAX];
static lw_quota_grant_t terms_in[ENTRIES_MAX];
static lw_quota_grant_t terms_out[ENTRIES_MAX];
static Lw__QuotaUse use_wire[ENTRIES_MAX];
static Lw__QuotaUse *use_list[ENTRIES_MAX];
static Lw__QuotaTerm term_wire[ENTRIES_MAX];
static Lw__QuotaTerm *term_list[ENTRIES_MAX];

static size_t limit_entries(size_t n)
{
	return n < ENTRIES_MAX ? n : ENTRIES_MAX;
}

static uint32_t demand_milli(double per_s)
{
	return per_s < DEMAND_MAX ? (uint32_t)(per_s * 1000 + 0.5) : UINT32_MAX;
}

/*
 * lw_mesh_report_quota() - sends the usage report @uses of this node, whose digest is
 * @node, to the quota coordinator at @coordinator. Returns false if there is no usable
 * connection.
 */
bool lw_mesh_report_quota(lw_mesh_t *m, const char *coordinator, uint64_t node, uint32_t number,
			  const lw_quota_usage_t *uses, size_t n)
{
	lw_link_t *l = lw_link_to(m, coordinator);
	Lw__QuotaReport w = LW__QUOTA_REPORT__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	if (!l || !l->peer_incarnation)
		return false;
	w.uses = use_list;
	w.n_uses = limit_entries(n);
	w.number = number;
	w.node = node;
	for (size_t i = 0; i < w.n_uses; i++) {
		lw__quota_use__init(&use_wire[i]);
		use_wire[i].org = uses[i].org;
		use_wire[i].asked = uses[i].asked;
		use_wire[i].admitted = uses[i].admitted;
		use_wire[i].shed = uses[i].shed;
		use_list[i] = &use_wire[i];
	}
	f.body_case = LW__MESH_FRAME__BODY_QUOTA_REPORT;
	f.quota_report = &w;
	lw_link_send(l, &f);
	return true;
}

static void send_terms(lw_link_t *l, uint32_t number, const lw_quota_grant_t *terms, size_t n)
{
	Lw__QuotaTerms w = LW__QUOTA_TERMS__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	w.terms = term_list;
	w.n_terms = n;
	w.number = number;
	for (size_t i = 0; i < n; i++) {
		lw__quota_term__init(&term_wire[i]);
		term_wire[i].org = terms[i].org;
		term_wire[i].admit_permille = terms[i].admit_permille;
		term_wire[i].demand_milli = demand_milli(terms[i].demand_per_s);
		term_list[i] = &term_wire[i];
	}
	f.body_case = LW__MESH_FRAME__BODY_QUOTA_TERMS;
	f.quota_terms = &w;
	lw_link_send(l, &f);
}

/*
 * lw_mesh_on_quota_report() - another node reports its usage to this node as quota
 * coordinator.
 */
void lw_mesh_on_quota_report(lw_link_t *l, const Lw__QuotaReport *w)
{
	lw_mesh_t *m = l->mesh;
	size_t n = limit_entries(w->n_uses);

	for (size_t i = 0; i < n; i++)
		uses_in[i] = (lw_quota_usage_t){ w->uses[i]->org, w->uses[i]->asked,
						 w->uses[i]->admitted, w->uses[i]->shed };
	n = m->ops->quota_report(m->ctx, w->node, uses_in, n, terms_out, ENTRIES_MAX);
	send_terms(l, w->number, terms_out, n);
}

/* lw_mesh_on_quota_terms() - a quota coordinator replied to a usage report. */
void lw_mesh_on_quota_terms(lw_link_t *l, const Lw__QuotaTerms *w)
{
	lw_mesh_t *m = l->mesh;
	size_t n = limit_entries(w->n_terms);

	for (size_t i = 0; i < n; i++)
		terms_in[i] = (lw_quota_grant_t){ w->terms[i]->org, w->terms[i]->admit_permille,
						  w->terms[i]->demand_milli / 1000.0 };
	m->ops->quota_terms(m->ctx, l->node, w->number, terms_in, n);
}
