#include "ownership/departure.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void departure_init(struct departure *d)
{
	memset(d, 0, sizeof(*d));
	d->must_read = 1;
}

void departure_note(struct departure *d, const char *id, int64_t born_ms)
{
	if (!born_ms)
		snprintf(d->record.id, sizeof(d->record.id), "%s", id);
	else if (born_ms > d->record.born_ms)
		d->record.born_ms = born_ms;
}

int departure_includes(struct departure *d, const char *id, int64_t born_ms)
{
	if (d->record.id[0] && strcmp(d->record.id, id) == 0) {
		/* A later run may have the same id. */
		if (born_ms) {
			departure_note(d, id, born_ms);
			d->record.id[0] = 0;
		}
		return 1;
	}
	return born_ms && born_ms <= d->record.born_ms;
}

int departure_is_loaded(const struct departure *d)
{
	return d->loaded;
}

static int records_are_equal(const struct departure_record *a,
			     const struct departure_record *b)
{
	return a->born_ms == b->born_ms && strcmp(a->id, b->id) == 0;
}

int departure_is_stored(const struct departure *d)
{
	return !d->must_read && records_are_equal(&d->record, &d->stored);
}

enum departure_action departure_next(const struct departure *d, uint64_t era)
{
	if (d->must_read || era != d->era)
		return DEPARTURE_READ;
	return departure_is_stored(d) ? DEPARTURE_NONE : DEPARTURE_WRITE;
}

void departure_on_read(struct departure *d,
		       const struct departure_record *stored, int64_t revision,
		       uint64_t era)
{
	static const struct departure_record none;

	d->stored = stored ? *stored : none;
	d->revision = revision;
	d->era = era;
	d->must_read = 0;
	if (d->stored.born_ms > d->record.born_ms)
		d->record.born_ms = d->stored.born_ms;
	/* Later, this process knows better which run the id stands for. */
	if (!d->loaded && !d->record.id[0])
		memcpy(d->record.id, d->stored.id, sizeof(d->record.id));
	d->loaded = 1;
}

void departure_on_written(struct departure *d,
			  const struct departure_record *written, enum err e,
			  int64_t revision)
{
	if (e != ERR_OK) {
		d->must_read = 1;
		return;
	}
	d->stored = *written;
	d->revision = revision;
}

enum err departure_write(const struct departure_record *r, struct buf *out)
{
	json_t *root = json_pack("{s:I,s:s}", "born_ms", (json_int_t)r->born_ms,
				 "id", r->id);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	enum err e = ERR_MALFORMED;

	if (text)
		e = buf_add(out, text, strlen(text));
	free(text);
	json_decref(root);
	return e;
}

enum err departure_parse(struct departure_record *r, const uint8_t *text,
			 size_t len)
{
	json_t *root = json_loadb((const char *)text, len, 0, NULL);
	enum err e = ERR_MALFORMED;
	json_int_t born_ms;
	const char *id;

	memset(r, 0, sizeof(*r));
	if (root &&
	    json_unpack(root, "{s:I,s:s}", "born_ms", &born_ms, "id", &id) ==
		    0 &&
	    born_ms >= 0 && strlen(id) < sizeof(r->id)) {
		r->born_ms = born_ms;
		memcpy(r->id, id, strlen(id) + 1);
		e = ERR_OK;
	}
	json_decref(root);
	return e;
}
