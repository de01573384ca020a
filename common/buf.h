#ifndef COMMON_BUF_H
#define COMMON_BUF_H

#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Byte buffer that grows as needed. The caller owns struct buf; buf_finish
 * frees the data and leaves an empty buffer that can be used again.
 */
struct buf {
	uint8_t *data;
	size_t len;
	size_t cap;
};

void buf_init(struct buf *b);
void buf_finish(struct buf *b);
/* Empties the buffer, keeps its memory. */
void buf_reset(struct buf *b);
/* Append bytes or formatted text. Return ERR_OK or ERR_NOMEM. */
enum err buf_add(struct buf *b, const void *data, size_t len);
enum err buf_addf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * Makes space for at least len more bytes and returns its start, or NULL if
 * out of memory. The caller writes there and then increases b->len.
 */
uint8_t *buf_reserve(struct buf *b, size_t len);
/* Removes the first len bytes, or all if there are fewer. */
void buf_drop(struct buf *b, size_t len);
/*
 * Returns the data as text, with a terminating zero byte that does not count in
 * b->len; "" if out of memory.
 */
const char *buf_text(struct buf *b);

#endif
