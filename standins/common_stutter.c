#include "standins/common_stutter.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define CONTROL_PATH "/control/stutter"
#define FAILED_PERCENT 15
#define REFUSED_PERCENT 10
#define SEGMENTED_PERCENT 30
#define MAX_SEGMENTS 4
/* Long enough for the caller to read the segments one by one. */
#define SEGMENT_PAUSE_S 0.002

static const char *const kind_names[] = {
	[COMMON_STUTTER_TWICE] = "twice",
	[COMMON_STUTTER_LATE] = "late",
	[COMMON_STUTTER_CUT] = "cut",
	[COMMON_STUTTER_CUT_OTHER] = "cut_other",
	[COMMON_STUTTER_CUT_OWN] = "cut_own",
};

/* An answer of which some segments were not sent yet. */
struct common_stutter_send {
	struct common_stutter *stutter;
	struct httpd_request *request;
	ev_timer timer;
	struct buf bytes;
	size_t sent;
	size_t segment_bytes;
	struct common_stutter_send *prev;
	struct common_stutter_send *next;
};

static unsigned pick(struct common_stutter *s, size_t count)
{
	return (unsigned)g_rand_int_range(s->rand, 0, (gint32)count);
}

void common_stutter_init(struct common_stutter *s, struct ev_loop *loop,
			 unsigned seed, unsigned percent, int has_ids)
{
	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->rand = g_rand_new_with_seed(seed);
	s->percent = percent;
	s->has_ids = has_ids;
}

static void free_send(struct common_stutter_send *send)
{
	ev_timer_stop(send->stutter->loop, &send->timer);
	DL_DELETE(send->stutter->sends, send);
	buf_finish(&send->bytes);
	free(send);
}

void common_stutter_finish(struct common_stutter *s)
{
	while (s->sends)
		free_send(s->sends);
	for (size_t i = 0; i < COMMON_STUTTER_EARLIER; i++)
		buf_finish(&s->earlier[i].bytes);
	if (s->rand)
		g_rand_free(s->rand);
	s->rand = NULL;
}

void common_stutter_completed(struct common_stutter *s,
			      const struct httpd_request *r)
{
	struct common_stutter_send *send;

	DL_FOREACH(s->sends, send) {
		if (send->request != r)
			continue;
		free_send(send);
		return;
	}
}

int common_stutter_control(struct common_stutter *s, struct httpd_request *r)
{
	size_t path_len = strcspn(r->path, "?");
	const char *percent;
	struct buf text;

	if (path_len != strlen(CONTROL_PATH) ||
	    strncmp(r->path, CONTROL_PATH, path_len) != 0)
		return 0;
	percent = httpd_get_argument(r, "percent");
	if (percent)
		s->percent = (unsigned)strtoul(percent, NULL, 10);
	buf_init(&text);
	for (int k = 0; k < COMMON_STUTTER_KINDS; k++)
		buf_addf(&text, "%s %zu\n", kind_names[k], s->counts[k]);
	httpd_answer_text(r, 200, "text/plain", buf_text(&text));
	buf_finish(&text);
	return 1;
}

int common_stutter_chooses_refusal(struct common_stutter *s)
{
	return s->percent && pick(s, 100) < REFUSED_PERCENT;
}

unsigned common_stutter_choose_status(struct common_stutter *s)
{
	return s->percent && pick(s, 100) < FAILED_PERCENT ? 500 : 200;
}

static void build_answer(struct common_stutter_answer *a, unsigned status,
			 const struct httpd_header *headers, size_t count,
			 const void *body, size_t body_len, int length_first)
{
	struct buf *b = &a->bytes;

	a->status = status;
	buf_reset(b);
	buf_addf(b, "HTTP/1.1 %u %s\r\n", status,
		 http_status_str((enum http_status)status));
	if (length_first)
		buf_addf(b, "Content-Length: %zu\r\n", body_len);
	for (size_t i = 0; i < count; i++)
		buf_addf(b, "%s: %s\r\n", headers[i].name, headers[i].value);
	if (!length_first)
		buf_addf(b, "Content-Length: %zu\r\n", body_len);
	buf_add(b, "\r\n", 2);
	a->head_len = b->len;
	buf_add(b, body, body_len);
}

static size_t kept_count(const struct common_stutter *s)
{
	return MIN(s->earlier_count, COMMON_STUTTER_EARLIER);
}

/*
 * Returns an earlier answer, with another status than this one unless it is 0;
 * NULL if there is none.
 */
static const struct common_stutter_answer *
pick_earlier(struct common_stutter *s, unsigned other_than)
{
	const struct common_stutter_answer *found[COMMON_STUTTER_EARLIER];
	size_t count = 0;

	for (size_t i = 0; i < kept_count(s); i++) {
		if (s->earlier[i].status != other_than)
			found[count++] = &s->earlier[i];
	}
	return count ? found[pick(s, count)] : NULL;
}

/* Returns a kind that can be written now, COMMON_STUTTER_KINDS for none. */
static enum common_stutter_kind
pick_kind(struct common_stutter *s, const struct common_stutter_answer *own,
	  const struct common_stutter_answer **earlier)
{
	enum common_stutter_kind kind;

	*earlier = NULL;
	if (pick(s, 100) >= s->percent)
		return COMMON_STUTTER_KINDS;
	kind = (enum common_stutter_kind)pick(s, COMMON_STUTTER_KINDS);
	if (kind == COMMON_STUTTER_LATE && !s->has_ids)
		kind = COMMON_STUTTER_CUT_OTHER;
	if (kind == COMMON_STUTTER_CUT_OTHER)
		*earlier = pick_earlier(s, own->status);
	else if (kind == COMMON_STUTTER_LATE || kind == COMMON_STUTTER_CUT)
		*earlier = pick_earlier(s, 0);
	if (kind == COMMON_STUTTER_TWICE || *earlier)
		return kind;
	*earlier = own;
	return COMMON_STUTTER_CUT_OWN;
}

/* Returns the number of bytes after which the earlier answer is cut. */
static size_t pick_cut(struct common_stutter *s,
		       const struct common_stutter_answer *earlier,
		       const struct common_stutter_answer *own)
{
	size_t cut = 1 + pick(s, earlier->bytes.len - 1);

	if (!s->has_ids && cut >= earlier->head_len &&
	    earlier->bytes.len - cut >= own->head_len)
		cut = 1 + pick(s, earlier->head_len - 1);
	return cut;
}

static void end_stream(struct common_stutter_send *send)
{
	struct httpd_request *r = send->request;

	free_send(send);
	httpd_stream_end(r);
}

static void send_segment(struct common_stutter_send *send)
{
	size_t left = send->bytes.len - send->sent;
	size_t n = MIN(left, send->segment_bytes);

	httpd_stream_send(send->request, send->bytes.data + send->sent, n);
	send->sent += n;
	if (send->sent == send->bytes.len)
		end_stream(send);
}

static void on_segment_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	send_segment(w->data);
}

/* Takes the bytes. */
static void send_bytes(struct common_stutter *s, struct httpd_request *r,
		       struct buf *bytes, int segmented)
{
	struct common_stutter_send *send = calloc(1, sizeof(*send));

	if (!send)
		abort();
	send->stutter = s;
	send->request = r;
	send->bytes = *bytes;
	send->segment_bytes = bytes->len;
	if (segmented)
		send->segment_bytes =
			bytes->len / MAX_SEGMENTS + 1 + pick(s, bytes->len);
	DL_APPEND(s->sends, send);
	ev_timer_init(&send->timer, on_segment_timer, SEGMENT_PAUSE_S,
		      SEGMENT_PAUSE_S);
	send->timer.data = send;
	ev_timer_start(s->loop, &send->timer);
	httpd_stream_begin_open(r);
	send_segment(send);
}

/* Appends the bytes before the own answer; returns 1 if they may be cut up. */
static int add_earlier(struct common_stutter *s, enum common_stutter_kind kind,
		       const struct common_stutter_answer *earlier,
		       const struct common_stutter_answer *own, struct buf *out)
{
	size_t len;

	if (!earlier)
		return kind == COMMON_STUTTER_TWICE ? s->has_ids : 1;
	if (kind == COMMON_STUTTER_LATE) {
		buf_add(out, earlier->bytes.data, earlier->bytes.len);
		return 1;
	}
	len = pick_cut(s, earlier, own);
	buf_add(out, earlier->bytes.data, len);
	return len < earlier->head_len;
}

static void remember(struct common_stutter *s,
		     struct common_stutter_answer *own)
{
	struct common_stutter_answer *place =
		&s->earlier[s->earlier_count++ % COMMON_STUTTER_EARLIER];

	buf_finish(&place->bytes);
	*place = *own;
}

void common_stutter_answer(struct common_stutter *s, struct httpd_request *r,
			   unsigned status, const struct httpd_header *headers,
			   size_t header_count, const void *body,
			   size_t body_len)
{
	struct common_stutter_answer own = { 0 };
	const struct common_stutter_answer *earlier;
	enum common_stutter_kind kind;
	struct buf out;
	int may_segment;

	if (!s->percent || !r->keep_alive || strcmp(r->method, "HEAD") == 0 ||
	    body_len > COMMON_STUTTER_MAX_BYTES) {
		httpd_answer(r, status, headers, header_count, body, body_len);
		return;
	}
	build_answer(&own, status, headers, header_count, body, body_len,
		     pick(s, 2) == 0);
	kind = pick_kind(s, &own, &earlier);
	buf_init(&out);
	may_segment = add_earlier(s, kind, earlier, &own, &out);
	buf_add(&out, own.bytes.data, own.bytes.len);
	if (kind == COMMON_STUTTER_TWICE)
		buf_add(&out, own.bytes.data, own.bytes.len);
	if (kind != COMMON_STUTTER_KINDS)
		s->counts[kind]++;
	send_bytes(s, r, &out,
		   may_segment && kind != COMMON_STUTTER_KINDS &&
			   pick(s, 100) < SEGMENTED_PERCENT);
	remember(s, &own);
}
