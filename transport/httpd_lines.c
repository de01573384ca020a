#include "transport/httpd_priv.h"

#include <string.h>

/*
 * http_parser, as distributions build it, takes any byte for the line feed that
 * ends a head, a chunk's size or a chunk, and anything behind a blank for a
 * chunk extension. A recipient that reads such bytes strictly finds the end of
 * the body elsewhere. So the lines are checked before the parser gets them.
 */

/* Parts of the line that states the size of a chunk. */
enum { SIZE_DIGITS, SIZE_BLANKS, SIZE_EXTENSION };

void httpd_lines_begin(struct httpd_lines *l, enum httpd_part part,
		       uint64_t bytes)
{
	l->part = part;
	l->bytes_left = bytes;
	l->line_len = 0;
	l->size_part = SIZE_DIGITS;
}

static int is_control(char c)
{
	return ((unsigned char)c < ' ' && c != '\t') || c == 127;
}

/*
 * The digits are checked by the parser. Behind them there may be blanks and,
 * from a semicolon on, extensions.
 */
static int size_char_is_valid(struct httpd_lines *l, char c)
{
	if (c == '\r' || c == '\n')
		return 1;
	if (l->size_part == SIZE_EXTENSION)
		return !is_control(c);
	if (c == ';')
		l->size_part = SIZE_EXTENSION;
	else if (c == ' ' || c == '\t')
		l->size_part = SIZE_BLANKS;
	else
		return l->size_part == SIZE_DIGITS;
	return 1;
}

/*
 * Only a line feed may follow a carriage return. In a head and in trailers it
 * may also stand alone (RFC 9112, section 2.2), around chunks it may not.
 */
static int line_end_is_valid(const struct httpd_lines *l, char c)
{
	if (l->line_len && l->last == '\r')
		return c == '\n';
	if (c != '\n')
		return 1;
	return l->part == HTTPD_PART_HEAD || l->part == HTTPD_PART_TRAILERS;
}

static int char_is_valid(struct httpd_lines *l, char c)
{
	if (!line_end_is_valid(l, c))
		return 0;
	if (l->part == HTTPD_PART_CHUNK_SIZE)
		return size_char_is_valid(l, c);
	if (l->part == HTTPD_PART_CHUNK_END)
		return c == (l->line_len ? '\n' : '\r');
	return 1;
}

/* Returns the length of the line, or of the part of it that was received. */
static size_t check_line(struct httpd_lines *l, const char *data, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!char_is_valid(l, data[i]))
			return 0;
		l->last = data[i];
		l->line_len++;
		if (data[i] != '\n')
			continue;
		l->line_len = 0;
		l->size_part = SIZE_DIGITS;
		return i + 1;
	}
	return len;
}

size_t httpd_lines_next(struct httpd_lines *l, const char *data, size_t len)
{
	size_t n = len;

	if (l->part != HTTPD_PART_BODY && l->part != HTTPD_PART_CHUNK)
		return check_line(l, data, len);
	if (n > l->bytes_left)
		n = (size_t)l->bytes_left;
	l->bytes_left -= n;
	if (!l->bytes_left && l->part == HTTPD_PART_CHUNK)
		httpd_lines_begin(l, HTTPD_PART_CHUNK_END, 0);
	return n;
}
