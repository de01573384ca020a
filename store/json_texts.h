#ifndef STORE_JSON_TEXTS_H
#define STORE_JSON_TEXTS_H

#include "common/buf.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Loads JSON that has a few long base64 texts, the values of a store, without
 * reading these character by character: that took 11 ms of processor time for a
 * value of 480 KB, and decoding takes one.
 */

/* Shorter texts are loaded with the rest. */
#define JSON_TEXTS_MIN_BYTES 4096

struct json_text {
	const char *at; /* in the data that was loaded */
	size_t len;
};

struct json_texts {
	struct json_text *texts;
	size_t count;
};

/*
 * Loads data, with the flags of json_loadb. In the result, each long base64
 * text is replaced by a reference that only json_texts_bytes reads; data must
 * stay valid until then. Returns NULL if data is malformed or memory is short.
 * The caller finishes out in each case.
 */
json_t *json_texts_load(const void *data, size_t len, size_t flags,
			struct json_texts *out);
/* As etcd_json_bytes, also for a text that was replaced. */
uint8_t *json_texts_bytes(const struct json_texts *t, const json_t *object,
			  const char *name, size_t *len);
void json_texts_finish(struct json_texts *t);

#endif
