#include "standins/common_answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_HEAD_BYTES 512

static enum err add_filler(struct buf *out, const char *request, size_t bytes)
{
	uint64_t x = XXH3_64bits(request, strlen(request)) | 1;
	uint8_t *room = buf_reserve(out, bytes + 1);

	if (!room)
		return ERR_NOMEM;
	for (size_t i = 0; i < bytes; i++) {
		x ^= x << 13;
		x ^= x >> 7;
		x ^= x << 17;
		room[i] = (uint8_t)('a' + (x >> 32) % 26);
	}
	out->len += bytes;
	return ERR_OK;
}

enum err common_answer_build(struct buf *out, const char *request,
			     const char *key, size_t bytes)
{
	struct buf filler;
	enum err e;

	if (bytes > COMMON_ANSWER_MAX_BYTES)
		return ERR_TOO_LARGE;
	buf_init(&filler);
	e = add_filler(&filler, request, bytes);
	if (e == ERR_OK)
		e = buf_addf(
			out, "request=%s key=%s bytes=%zu sum=%016llx\n",
			request, key, bytes,
			(unsigned long long)XXH3_64bits(filler.data, bytes));
	if (e == ERR_OK)
		e = buf_add(out, filler.data, bytes);
	buf_finish(&filler);
	return e;
}

static int parse_filler_bytes(const char *data, size_t len, size_t *bytes)
{
	const char *end = memchr(data, '\n', len);
	const char *at = NULL;
	char head[MAX_HEAD_BYTES];

	if (!end || (size_t)(end - data) >= sizeof(head))
		return 0;
	memcpy(head, data, (size_t)(end - data));
	head[end - data] = '\0';
	/* Takes the last match, since a key may hold the same text. */
	for (const char *p = head; (p = strstr(p, " bytes=")); p++)
		at = p;
	if (!at)
		return 0;
	*bytes = strtoul(at + strlen(" bytes="), NULL, 10);
	return 1;
}

int common_answer_check(const void *data, size_t len, const char *request,
			const char *key)
{
	struct buf expected;
	size_t bytes;
	int ok;

	if (!len || !parse_filler_bytes(data, len, &bytes) || bytes > len)
		return 0;
	buf_init(&expected);
	ok = common_answer_build(&expected, request, key, bytes) == ERR_OK &&
	     expected.len == len && memcmp(expected.data, data, len) == 0;
	buf_finish(&expected);
	return ok;
}
