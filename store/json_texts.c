#include "store/json_texts.h"
#include "store/etcd_json.h"

#include <stdlib.h>
#include <string.h>

/* No base64 digit, so that no other text looks like a reference. */
#define REFERENCE '#'

static int add_text(struct json_texts *t, const char *at, size_t len)
{
	struct json_text *texts =
		realloc(t->texts, (t->count + 1) * sizeof(*texts));

	if (!texts)
		return 0;
	t->texts = texts;
	t->texts[t->count].at = at;
	t->texts[t->count++].len = len;
	return 1;
}

/* Returns the end of the text that begins at p, after its first quote. */
static const char *find_quote(const char *p, const char *end)
{
	while (p < end && *p != '"')
		p += 1 + (*p == '\\');
	return p < end ? p : NULL;
}

/* Appends data to out with references in place of the long texts. */
static int replace_texts(const char *data, size_t len, struct json_texts *t,
			 struct buf *out)
{
	const char *end = data + len;
	const char *copied = data;
	const char *p = data;

	while ((p = memchr(p, '"', (size_t)(end - p)))) {
		const char *first = p + 1;
		const char *last = memchr(first, '"', (size_t)(end - first));
		size_t text_len = last ? (size_t)(last - first) : 0;

		if (text_len >= JSON_TEXTS_MIN_BYTES &&
		    !memchr(first, '\\', text_len)) {
			if (buf_add(out, copied, (size_t)(first - copied)) !=
				    ERR_OK ||
			    buf_addf(out, "%c%zu", REFERENCE, t->count) !=
				    ERR_OK ||
			    !add_text(t, first, text_len))
				return 0;
			copied = last;
		} else {
			last = find_quote(first, end);
		}
		if (!last)
			break;
		p = last + 1;
	}
	return buf_add(out, copied, (size_t)(end - copied)) == ERR_OK;
}

json_t *json_texts_load(const void *data, size_t len, size_t flags,
			struct json_texts *out)
{
	static const char reference[] = { '"', REFERENCE };
	json_t *root = NULL;
	struct buf rest;

	memset(out, 0, sizeof(*out));
	if (len < JSON_TEXTS_MIN_BYTES ||
	    memmem(data, len, reference, sizeof(reference)))
		return json_loadb(data, len, flags, NULL);
	buf_init(&rest);
	if (replace_texts(data, len, out, &rest))
		root = json_loadb((const char *)rest.data, rest.len, flags,
				  NULL);
	buf_finish(&rest);
	return root;
}

uint8_t *json_texts_bytes(const struct json_texts *t, const json_t *object,
			  const char *name, size_t *len)
{
	const char *text = json_string_value(json_object_get(object, name));
	unsigned long i;

	if (!t->count || !text || *text != REFERENCE)
		return etcd_json_bytes(object, name, len);
	i = strtoul(text + 1, NULL, 10);
	*len = 0;
	return i < t->count
		       ? etcd_json_decode(t->texts[i].at, t->texts[i].len, len)
		       : NULL;
}

void json_texts_finish(struct json_texts *t)
{
	free(t->texts);
	memset(t, 0, sizeof(*t));
}
