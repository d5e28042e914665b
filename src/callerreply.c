/* Writing answers to callers. */
#include "caller_int.h"

#include <stdio.h>
#include <string.h>

/* lw_caller_answer_done() - the answer is complete; go on when the request is, too */
void lw_caller_answer_done(lw_caller_t *c)
{
	c->x = NULL;
	c->answered = true;
	if (!c->keep || c->set->evloop->leaving)
		c->closing = c->body_done;
	lw_caller_flush(c);
	if (!c->closed && c->body_done && !c->starting)
		ev_feed_event(c->set->evloop->loop, &c->io, EV_CUSTOM);
}

static void end_head(lw_caller_t *c)
{
	if (!c->keep || c->set->evloop->leaving) {
		c->keep = false;
		lw_bytebuf_append_c(&c->out, "Connection: close\r\n");
	}
	lw_bytebuf_append_c(&c->out, "\r\n");
}

static void put_chunk(lw_caller_t *c, lw_str_t data, bool fin)
{
	if (!c->chunked_answer) {
		lw_bytebuf_append_str(&c->out, data);
		return;
	}
	if (data.len) {
		lw_bytebuf_printf(&c->out, "%zx\r\n", data.len);
		lw_bytebuf_append_str(&c->out, data);
		lw_bytebuf_append_c(&c->out, "\r\n");
	}
	if (fin)
		lw_bytebuf_append_c(&c->out, "0\r\n\r\n");
}

static void reply_answer(lw_reply_t *r, const lw_answer_t *a, lw_str_t body, bool fin)
{
	lw_caller_t *c = (lw_caller_t *)r;
	bool bodiless = a->status == 204 || a->status == 304;

	if (c->closed)
		return;
	lw_bytebuf_append_str(&c->out, a->head);
	c->chunked_answer = a->body_length < 0 && !c->http10;
	if (a->body_length < 0 && c->http10)
		c->keep = false;
	else if (!bodiless)
		lw_httphead_framing(&c->out, a->body_length, c->is_head);
	end_head(c);
	put_chunk(c, body, fin);
	c->uncredited += (uint32_t)body.len;
	if (fin)
		lw_caller_answer_done(c);
	else
		lw_caller_flush(c);
}

static void reply_data(lw_reply_t *r, lw_str_t data, bool fin)
{
	lw_caller_t *c = (lw_caller_t *)r;

	if (c->closed)
		return;
	put_chunk(c, data, fin);
	c->uncredited += (uint32_t)data.len;
	if (fin)
		lw_caller_answer_done(c);
	else
		lw_caller_flush(c);
}

static const char *reason_phrase(uint32_t status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Error";
	}
}

/*
 * lw_caller_put_own() - queue an answer of this node: @why is its body,
 * @retry_after_ms 0 tells none.
 */
void lw_caller_put_own(lw_caller_t *c, uint32_t status, const char *why, uint32_t retry_after_ms)
{
	lw_bytebuf_printf(&c->out, "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n", status,
			  reason_phrase(status));
	lw_httphead_framing(&c->out, (int64_t)strlen(why) + 1, false);
	if (retry_after_ms)
		lw_bytebuf_printf(&c->out, "Retry-After: %u.%03u\r\n", retry_after_ms / 1000,
				  retry_after_ms % 1000);
	if (status == 401)
		lw_bytebuf_printf(&c->out, "WWW-Authenticate: %s\r\n",
				  c->set->evloop->names->credential_scheme);
	end_head(c);
	if (!c->is_head)
		lw_bytebuf_printf(&c->out, "%s\n", why);
}

static void reply_own(lw_reply_t *r, uint32_t status, const char *why, uint32_t retry_after_ms)
{
	lw_caller_t *c = (lw_caller_t *)r;

	if (c->closed)
		return;
	lw_caller_put_own(c, status, why, retry_after_ms);
	lw_caller_answer_done(c);
}

/*
 * A cut answer must look cut: closed without the rest. Ended in order, one of which
 * neither length nor chunks tell the end looks whole to a caller of HTTP/1.0: reset.
 */
static void reply_cut(lw_reply_t *r)
{
	lw_caller_t *c = (lw_caller_t *)r;

	c->x = NULL;
	c->cut = c->http10;
	if (!c->closed)
		lw_caller_close(c);
}

static void reply_resume(lw_reply_t *r)
{
	lw_caller_t *c = (lw_caller_t *)r;

	if (!c->closed)
		ev_feed_event(c->set->evloop->loop, &c->io, EV_CUSTOM);
}

const lw_reply_ops_t lw_caller_reply_ops = {
	.answer = reply_answer,
	.data = reply_data,
	.own = reply_own,
	.cut = reply_cut,
	.resume = reply_resume,
};
