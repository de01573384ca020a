#include "common/cnt.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CNT_KEY_BYTES 256

void cnt_init(struct cnt *c)
{
	c->series = NULL;
}

void cnt_finish(struct cnt *c)
{
	struct cnt_series *s, *tmp;

	HASH_ITER(hh, c->series, s, tmp) {
		HASH_DEL(c->series, s);
		free(s->key);
		free(s->hist);
		free(s);
	}
}

static void make_key(char *key, const char *name, const char *labels)
{
	if (labels[0])
		snprintf(key, CNT_KEY_BYTES, "%s{%s}", name, labels);
	else
		snprintf(key, CNT_KEY_BYTES, "%s", name);
}

static struct cnt_series *add_series(struct cnt *c, const char *key)
{
	struct cnt_series *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->key = strdup(key);
	if (!s->key) {
		free(s);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, c->series, s->key, strlen(s->key), s);
	return s;
}

static struct cnt_series *find_or_add(struct cnt *c, const char *name,
				      const char *labels)
{
	char key[CNT_KEY_BYTES];
	struct cnt_series *s;

	make_key(key, name, labels);
	HASH_FIND_STR(c->series, key, s);
	if (s)
		return s;
	if (HASH_COUNT(c->series) >= CNT_MAX_SERIES) {
		make_key(key, name, "overflow=\"1\"");
		HASH_FIND_STR(c->series, key, s);
		if (s)
			return s;
	}
	return add_series(c, key);
}

void cnt_add(struct cnt *c, const char *name, const char *labels, uint64_t n)
{
	struct cnt_series *s = find_or_add(c, name, labels);

	if (s)
		s->value += n;
}

void cnt_set(struct cnt *c, const char *name, const char *labels, uint64_t n)
{
	struct cnt_series *s = find_or_add(c, name, labels);

	if (s)
		s->value = n;
}

void cnt_gauge(struct cnt *c, const char *name, const char *labels, uint64_t n)
{
	struct cnt_series *s = find_or_add(c, name, labels);

	if (!s)
		return;
	s->value = n;
	s->gauge = 1;
}

struct hist *cnt_hist(struct cnt *c, const char *name, const char *labels)
{
	struct cnt_series *s = find_or_add(c, name, labels);

	if (!s)
		return NULL;
	if (!s->hist) {
		s->hist = malloc(sizeof(*s->hist));
		if (s->hist)
			hist_init(s->hist);
	}
	return s->hist;
}

void cnt_sample(struct cnt *c, const char *name, const char *labels,
		uint64_t value)
{
	struct hist *h = cnt_hist(c, name, labels);

	if (h)
		hist_add(h, value);
}

uint64_t cnt_get(const struct cnt *c, const char *name, const char *labels)
{
	char key[CNT_KEY_BYTES];
	struct cnt_series *s;

	make_key(key, name, labels);
	HASH_FIND_STR(c->series, key, s);
	return s ? s->value : 0;
}

/*
 * Upper bounds of the buckets in microseconds. They range from the time of one
 * network hop to a request's deadline.
 */
static const uint64_t bucket_bounds_us[] = { 1000,    2000,    5000,	10000,
					     20000,   50000,   100000,	200000,
					     500000,  1000000, 2000000, 5000000,
					     10000000 };

/*
 * Sets *base to the length of the name without its suffix _us or _ms. Returns
 * the length of that unit in microseconds, 0 if the name has no unit.
 */
static uint64_t split_unit(const char *name, size_t len, size_t *base)
{
	*base = len;
	if (len > 3 && !strncmp(name + len - 3, "_us", 3)) {
		*base = len - 3;
		return 1;
	}
	if (len > 3 && !strncmp(name + len - 3, "_ms", 3)) {
		*base = len - 3;
		return 1000;
	}
	return 0;
}

static const char *series_type(const struct cnt_series *s)
{
	if (s->hist)
		return "histogram";
	return s->gauge ? "gauge" : "counter";
}

/* State of cnt_write; describes the series being written. */
struct writer {
	struct buf *out;
	char name[CNT_KEY_BYTES]; /* name of the last series, as written */
	const char *labels;	  /* without braces, "" if there are none */
	int labels_len;
};

static void begin_series(struct writer *w, const struct cnt_series *s,
			 uint64_t *unit_us)
{
	const char *brace = strchr(s->key, '{');
	size_t len = brace ? (size_t)(brace - s->key) : strlen(s->key);
	char name[CNT_KEY_BYTES];
	size_t base;

	*unit_us = split_unit(s->key, len, &base);
	snprintf(name, sizeof(name), "monsoonpin_%.*s%s%s", (int)base, s->key,
		 *unit_us ? "_seconds" : "",
		 s->hist || s->gauge ? "" : "_total");
	if (strcmp(name, w->name) != 0)
		buf_addf(w->out, "# TYPE %s %s\n", name, series_type(s));
	memcpy(w->name, name, sizeof(name));
	w->labels = brace ? brace + 1 : "";
	w->labels_len = brace ? (int)strlen(brace) - 2 : 0;
}

static void write_value(struct writer *w, const char *suffix, uint64_t value,
			uint64_t unit_us)
{
	const char *open = w->labels_len ? "{" : "";
	const char *close = w->labels_len ? "}" : "";

	buf_addf(w->out, "%s%s%s%.*s%s ", w->name, suffix, open, w->labels_len,
		 w->labels, close);
	if (unit_us)
		buf_addf(w->out, "%.6f\n",
			 (double)value * (double)unit_us / 1e6);
	else
		buf_addf(w->out, "%llu\n", (unsigned long long)value);
}

static void write_bucket(struct writer *w, const char *bound, uint64_t count)
{
	buf_addf(w->out, "%s_bucket{%.*s%sle=\"%s\"} %llu\n", w->name,
		 w->labels_len, w->labels, w->labels_len ? "," : "", bound,
		 (unsigned long long)count);
}

static void write_hist(struct writer *w, const struct cnt_series *s,
		       uint64_t unit_us)
{
	for (size_t i = 0;
	     i < sizeof(bucket_bounds_us) / sizeof(bucket_bounds_us[0]); i++) {
		char bound[32];

		snprintf(bound, sizeof(bound), "%g",
			 (double)bucket_bounds_us[i] / 1e6);
		write_bucket(w, bound,
			     hist_count_up_to(s->hist,
					      bucket_bounds_us[i] /
						      (unit_us ? unit_us : 1)));
	}
	write_bucket(w, "+Inf", s->hist->count);
	write_value(w, "_sum", s->hist->sum, unit_us);
	write_value(w, "_count", s->hist->count, 0);
}

static int compare_series_keys(struct cnt_series *a, struct cnt_series *b)
{
	return strcmp(a->key, b->key);
}

void cnt_write(struct cnt *c, struct buf *out)
{
	struct writer w = { .out = out };
	struct cnt_series *s, *tmp;
	uint64_t unit_us;

	HASH_SORT(c->series, compare_series_keys);
	HASH_ITER(hh, c->series, s, tmp) {
		begin_series(&w, s, &unit_us);
		if (s->hist)
			write_hist(&w, s, unit_us);
		else
			write_value(&w, "", s->value, unit_us);
	}
}
