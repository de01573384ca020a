#include "common/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUF_FIRST_BYTES 256

void buf_init(struct buf *b)
{
	memset(b, 0, sizeof(*b));
}

void buf_finish(struct buf *b)
{
	free(b->data);
	buf_init(b);
}

void buf_reset(struct buf *b)
{
	b->len = 0;
}

uint8_t *buf_reserve(struct buf *b, size_t len)
{
	size_t cap = b->cap ? b->cap : BUF_FIRST_BYTES;
	uint8_t *data;

	if (b->data && b->cap - b->len >= len)
		return b->data + b->len;
	while (cap - b->len < len)
		cap *= 2;
	data = realloc(b->data, cap);
	if (!data)
		return NULL;
	b->data = data;
	b->cap = cap;
	return b->data + b->len;
}

enum err buf_add(struct buf *b, const void *data, size_t len)
{
	uint8_t *space = buf_reserve(b, len + 1);

	if (!space)
		return ERR_NOMEM;
	if (len)
		memcpy(space, data, len);
	b->len += len;
	return ERR_OK;
}

enum err buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len < 0 || !buf_reserve(b, (size_t)len + 1))
		return ERR_NOMEM;
	va_start(ap, fmt);
	vsnprintf((char *)b->data + b->len, (size_t)len + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)len;
	return ERR_OK;
}

void buf_drop(struct buf *b, size_t len)
{
	if (len >= b->len) {
		b->len = 0;
		return;
	}
	memmove(b->data, b->data + len, b->len - len);
	b->len -= len;
}

const char *buf_text(struct buf *b)
{
	uint8_t *space = buf_reserve(b, 1);

	if (!space)
		return "";
	*space = 0;
	return (const char *)b->data;
}
