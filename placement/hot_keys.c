#include "placement/hot_keys.h"

#include <stdlib.h>
#include <string.h>

int hot_keys_init(struct hot_keys *h, size_t capacity)
{
	memset(h, 0, sizeof(*h));
	h->capacity = capacity ? capacity : 1;
	h->heap = calloc(h->capacity, sizeof(*h->heap));
	return h->heap ? 0 : -1;
}

void hot_keys_finish(struct hot_keys *h)
{
	hot_keys_reset(h);
	free(h->heap);
	h->heap = NULL;
}

static void entry_free(struct hot_keys_entry *e)
{
	free(e->service);
	free(e->key);
	free(e);
}

void hot_keys_reset(struct hot_keys *h)
{
	size_t i;

	HASH_CLEAR(hh, h->index);
	for (i = 0; i < h->size; i++)
		entry_free(h->heap[i]);
	h->size = 0;
	h->total = 0;
}

static void heap_put(struct hot_keys *h, size_t pos, struct hot_keys_entry *e)
{
	h->heap[pos] = e;
	e->pos = pos;
}

static void sift_up(struct hot_keys *h, struct hot_keys_entry *e)
{
	size_t pos = e->pos;

	while (pos > 0) {
		size_t parent = (pos - 1) / 2;

		if (h->heap[parent]->count <= e->count)
			break;
		heap_put(h, pos, h->heap[parent]);
		pos = parent;
	}
	heap_put(h, pos, e);
}

static void sift_down(struct hot_keys *h, struct hot_keys_entry *e)
{
	size_t pos = e->pos;

	for (;;) {
		size_t child = 2 * pos + 1;

		if (child >= h->size)
			break;
		if (child + 1 < h->size &&
		    h->heap[child + 1]->count < h->heap[child]->count)
			child++;
		if (h->heap[child]->count >= e->count)
			break;
		heap_put(h, pos, h->heap[child]);
		pos = child;
	}
	heap_put(h, pos, e);
}

static struct hot_keys_entry *entry_new(uint64_t hash, const char *service,
					const char *key, size_t key_len)
{
	struct hot_keys_entry *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->hash = hash;
	e->service = strdup(service);
	e->key = strndup(key, key_len);
	if (!e->service || !e->key) {
		entry_free(e);
		return NULL;
	}
	return e;
}

void hot_keys_add(struct hot_keys *h, uint64_t hash, const char *service,
		  const char *key, size_t key_len)
{
	struct hot_keys_entry *e = NULL;
	struct hot_keys_entry *lightest;

	h->total++;
	HASH_FIND(hh, h->index, &hash, sizeof(hash), e);
	if (e) {
		e->count++;
		sift_down(h, e);
		return;
	}
	e = entry_new(hash, service, key, key_len);
	if (!e)
		return;
	if (h->size < h->capacity) {
		e->count = 1;
		heap_put(h, h->size++, e);
		sift_up(h, e);
	} else {
		lightest = h->heap[0];
		e->count = lightest->count + 1;
		e->error = lightest->count;
		heap_put(h, 0, e);
		sift_down(h, e);
		HASH_DEL(h->index, lightest);
		entry_free(lightest);
	}
	HASH_ADD(hh, h->index, hash, sizeof(e->hash), e);
}

static int compare_counts(const void *a, const void *b)
{
	const struct hot_keys_entry *x =
		*(const struct hot_keys_entry *const *)a;
	const struct hot_keys_entry *y =
		*(const struct hot_keys_entry *const *)b;

	if (x->count != y->count)
		return x->count > y->count ? -1 : 1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

size_t hot_keys_top(const struct hot_keys *h, const struct hot_keys_entry **out,
		    size_t max)
{
	size_t n = h->size < max ? h->size : max;
	const struct hot_keys_entry **all;

	if (n == 0)
		return 0;
	all = calloc(h->size, sizeof(*all));
	if (!all)
		return 0;
	memcpy(all, h->heap, h->size * sizeof(*all));
	qsort(all, h->size, sizeof(*all), compare_counts);
	memcpy(out, all, n * sizeof(*all));
	free(all);
	return n;
}
