#include "ctl/ctl.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void ctl_error(const char *fmt, ...)
{
	va_list ap;

	/* Keeps the order of lines if both streams go to one file. */
	fflush(stdout);
	fputs("mpinctl: ", stderr);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

void ctl_print_json(json_t *object)
{
	char *text = json_dumps(object, JSON_SORT_KEYS | JSON_ENCODE_ANY |
						JSON_REAL_PRECISION(15));

	puts(text ? text : "null");
	free(text);
	json_decref(object);
}

json_t *ctl_lines_to_json(struct buf *text)
{
	json_t *lines = json_array();
	const char *p = buf_text(text);

	while (*p) {
		size_t len = strcspn(p, "\n");

		json_array_append_new(lines, json_stringn(p, len));
		p += len;
		p += *p == '\n';
	}
	return lines;
}

void ctl_format_time(int64_t wall_ms, char out[32])
{
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm tm;

	if (!gmtime_r(&seconds, &tm) ||
	    !strftime(out, 32, "%Y-%m-%dT%H:%M:%SZ", &tm))
		snprintf(out, 32, "unknown time");
}

enum err ctl_read_file(const char *path, struct buf *out)
{
	int is_stdin = !strcmp(path, "-");
	FILE *f = is_stdin ? stdin : fopen(path, "re");
	uint8_t *room = f ? buf_reserve(out, DOC_MAX_BYTES + 1) : NULL;
	enum err e = ERR_OK;

	if (!f) {
		ctl_error("%s: cannot be opened: %s", path, strerror(errno));
		return ERR_SYSTEM;
	}
	if (room)
		out->len = fread(room, 1, DOC_MAX_BYTES + 1, f);
	if (!room || ferror(f)) {
		ctl_error("%s: cannot be read", path);
		e = ERR_SYSTEM;
	}
	if (!is_stdin)
		fclose(f);
	return e;
}

enum ctl_exit ctl_report_invalid(const struct ctl *c, const char *file,
				 struct buf *problems)
{
	json_t *lines = ctl_lines_to_json(problems);
	size_t i;
	json_t *line;

	if (c->json) {
		ctl_print_json(json_pack("{s:s, s:o}", "result", "invalid",
					 "problems", lines));
		return CTL_INVALID;
	}
	json_array_foreach(lines, i, line) {
		ctl_error("%s: %s", file, json_string_value(line));
	}
	json_decref(lines);
	return CTL_INVALID;
}
