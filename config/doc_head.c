#include "config/doc_internal.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DIGEST_DIGITS 16

/* Reads a text without control characters that fits into DOC_NAME_BYTES. */
static enum err get_text(const json_t *object, const char *key,
			 char out[DOC_NAME_BYTES])
{
	const json_t *value = json_object_get(object, key);
	const char *text = json_string_value(value);

	if (!text || json_string_length(value) >= DOC_NAME_BYTES)
		return ERR_MALFORMED;
	for (const char *p = text; *p; p++) {
		if ((unsigned char)*p < ' ' || *p == 0x7f)
			return ERR_MALFORMED;
	}
	snprintf(out, DOC_NAME_BYTES, "%s", text);
	return ERR_OK;
}

static enum err get_integer(const json_t *object, const char *key, int64_t *out)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return ERR_MALFORMED;
	*out = json_integer_value(value);
	return ERR_OK;
}

/* Reads the four fields that a head and a change have in common. */
static enum err get_common_fields(const json_t *object, uint64_t *revision,
				  char author[DOC_NAME_BYTES], int64_t *wall_ms,
				  char attempt[DOC_NAME_BYTES])
{
	int64_t number;

	if (get_integer(object, "revision", &number) != ERR_OK || number < 1)
		return ERR_MALFORMED;
	*revision = (uint64_t)number;
	if (get_integer(object, "wall_ms", wall_ms) != ERR_OK)
		return ERR_MALFORMED;
	if (get_text(object, "author", author) != ERR_OK)
		return ERR_MALFORMED;
	return get_text(object, "attempt", attempt);
}

static enum err parse_digest(const char *text, uint64_t *digest)
{
	char *end;

	if (!text || strlen(text) != DIGEST_DIGITS ||
	    strspn(text, "0123456789abcdef") != DIGEST_DIGITS)
		return ERR_MALFORMED;
	*digest = strtoull(text, &end, 16);
	return ERR_OK;
}

static enum err parse_sections(struct doc_head *h, const json_t *sections)
{
	const char *name;
	json_t *value;

	if (!json_is_object(sections) ||
	    json_object_size(sections) > DOC_MAX_SERVICES + 1)
		return ERR_MALFORMED;
	json_object_foreach((json_t *)sections, name, value) {
		uint64_t digest;
		enum err e = parse_digest(json_string_value(value), &digest);

		if (e == ERR_OK && strlen(name) >= DOC_NAME_BYTES)
			e = ERR_MALFORMED;
		if (e == ERR_OK)
			e = doc_sections_add_digest(&h->sections, name, digest);
		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

static enum err parse_change(struct doc_change *change, const json_t *value)
{
	const json_t *names = json_object_get(value, "sections");
	int64_t section_count;
	enum err e;

	e = get_common_fields(value, &change->revision, change->author,
			      &change->wall_ms, change->attempt);
	if (e != ERR_OK)
		return e;
	if (get_integer(value, "section_count", &section_count) != ERR_OK ||
	    section_count > 2 * (DOC_MAX_SERVICES + 1) ||
	    !json_is_array(names) ||
	    json_array_size(names) > DOC_MAX_CHANGE_NAMES ||
	    (int64_t)json_array_size(names) > section_count)
		return ERR_MALFORMED;
	for (size_t i = 0; i < json_array_size(names); i++) {
		const json_t *name = json_array_get(names, i);

		if (!json_is_string(name) ||
		    json_string_length(name) >= DOC_NAME_BYTES)
			return ERR_MALFORMED;
		doc_change_add_section(change, json_string_value(name));
	}
	change->section_count = (uint32_t)section_count;
	return ERR_OK;
}

static enum err parse_recent(struct doc_head *h, const json_t *recent)
{
	if (!recent)
		return ERR_OK;
	if (!json_is_array(recent) || json_array_size(recent) > DOC_MAX_RECENT)
		return ERR_MALFORMED;
	for (size_t i = 0; i < json_array_size(recent); i++) {
		enum err e =
			parse_change(&h->recent[i], json_array_get(recent, i));

		if (e != ERR_OK)
			return e;
		h->recent_count++;
	}
	return ERR_OK;
}

/* Reads what heads of earlier versions do not have. */
static enum err parse_era(struct doc_head *h, const json_t *root)
{
	const json_t *era = json_object_get(root, "era");
	const json_t *written_back = json_object_get(root, "written_back");
	const char *text = json_string_value(era);
	char *end;

	if (written_back && !json_is_boolean(written_back))
		return ERR_MALFORMED;
	h->written_back = json_is_true(written_back);
	if (!era)
		return ERR_OK;
	if (!text || *text < '0' || *text > '9')
		return ERR_MALFORMED;
	errno = 0;
	h->era = strtoull(text, &end, 10);
	return *end || errno ? ERR_MALFORMED : ERR_OK;
}

enum err doc_head_parse(struct doc_head *h, const char *text, size_t len)
{
	struct doc_check c = { 0 };
	json_t *root;
	enum err e;

	memset(h, 0, sizeof(*h));
	root = doc_load_json(&c, "head", text, len);
	if (!root)
		return c.first_error;
	e = c.first_error;
	if (e == ERR_OK)
		e = get_common_fields(root, &h->revision, h->author,
				      &h->wall_ms, h->attempt);
	if (e == ERR_OK)
		e = parse_sections(h, json_object_get(root, "sections"));
	if (e == ERR_OK)
		e = parse_recent(h, json_object_get(root, "recent"));
	if (e == ERR_OK)
		e = parse_era(h, root);
	json_decref(root);
	if (e != ERR_OK)
		doc_head_finish(h);
	return e;
}

static json_t *sections_to_json(const struct doc_sections *s)
{
	json_t *object = json_object();

	for (size_t i = 0; object && i < s->count; i++) {
		char digest[DIGEST_DIGITS + 1];

		snprintf(digest, sizeof(digest), "%016" PRIx64,
			 s->items[i].digest);
		if (json_object_set_new(object, s->items[i].name,
					json_string(digest))) {
			json_decref(object);
			return NULL;
		}
	}
	return object;
}

static json_t *change_to_json(const struct doc_change *change)
{
	json_t *names = json_array();

	for (uint32_t i = 0; i < change->name_count; i++)
		json_array_append_new(names, json_string(change->names[i]));
	return json_pack("{s:I, s:s, s:I, s:s, s:i, s:o}", "revision",
			 (json_int_t)change->revision, "author", change->author,
			 "wall_ms", (json_int_t)change->wall_ms, "attempt",
			 change->attempt, "section_count",
			 (int)change->section_count, "sections", names);
}

static int add_era(json_t *root, const struct doc_head *h)
{
	char era[24];

	if (!h->era)
		return 0;
	snprintf(era, sizeof(era), "%" PRIu64, h->era);
	if (json_object_set_new(root, "era", json_string(era)))
		return -1;
	if (!h->written_back)
		return 0;
	return json_object_set_new(root, "written_back", json_true());
}

enum err doc_head_write(const struct doc_head *h, struct buf *out)
{
	json_t *recent = json_array();
	char *text = NULL;
	json_t *root;
	enum err e;

	for (uint32_t i = 0; i < h->recent_count; i++)
		json_array_append_new(recent, change_to_json(&h->recent[i]));
	root = json_pack("{s:I, s:s, s:I, s:s, s:o, s:o}", "revision",
			 (json_int_t)h->revision, "author", h->author,
			 "wall_ms", (json_int_t)h->wall_ms, "attempt",
			 h->attempt, "sections", sections_to_json(&h->sections),
			 "recent", recent);
	if (root && !add_era(root, h))
		text = json_dumps(root, DOC_JSON_COMPACT);
	e = text ? buf_add(out, text, strlen(text)) : ERR_NOMEM;
	free(text);
	json_decref(root);
	return e;
}

int doc_head_is_newest(const struct doc_head *h, uint64_t era)
{
	return era && h->era == era && !h->written_back;
}

int doc_head_may_lack_changes(const struct doc_head *h, uint64_t era)
{
	return era && h->era && (h->era != era || h->written_back);
}

void doc_head_finish(struct doc_head *h)
{
	doc_sections_finish(&h->sections);
	memset(h, 0, sizeof(*h));
}

void doc_change_add_section(struct doc_change *change, const char *section)
{
	change->section_count++;
	if (change->name_count == DOC_MAX_CHANGE_NAMES)
		return;
	snprintf(change->names[change->name_count++], DOC_NAME_BYTES, "%s",
		 section);
}

void doc_head_add_change(struct doc_head *h, const struct doc_change *change)
{
	uint32_t kept = h->recent_count;

	if (kept == DOC_MAX_RECENT)
		kept--;
	memmove(&h->recent[1], &h->recent[0], kept * sizeof(h->recent[0]));
	h->recent[0] = *change;
	h->recent_count = kept + 1;
	h->revision = change->revision;
	h->wall_ms = change->wall_ms;
	memcpy(h->author, change->author, sizeof(h->author));
	memcpy(h->attempt, change->attempt, sizeof(h->attempt));
}

const struct doc_change *doc_head_find_attempt(const struct doc_head *h,
					       const char *attempt)
{
	for (uint32_t i = 0; i < h->recent_count; i++) {
		if (!strcmp(h->recent[i].attempt, attempt))
			return &h->recent[i];
	}
	return NULL;
}

int doc_head_lists_all_since(const struct doc_head *h, uint64_t revision)
{
	uint32_t count = h->recent_count;

	return count && (count < DOC_MAX_RECENT ||
			 h->recent[count - 1].revision <= revision + 1);
}
