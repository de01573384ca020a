#include "common/log.h"
#include "common/clk.h"

#include <glib.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_LINE_BYTES 1024

static char node_name[64] = "-";
static enum log_level lowest_level = LOG_INFO;

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

/* Lines not written because of a failed write or the limit of log_request. */
static unsigned long dropped;

static void write_text(const char *text, size_t len)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

	/* Detects a full pipe; a file or terminal is always ready. */
	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT) ||
	    write(STDOUT_FILENO, text, len) < 0)
		dropped++;
}

static GLogWriterOutput write_line(GLogLevelFlags flags,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	(void)flags;
	(void)data;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") != 0)
			continue;
		write_text(fields[i].value, strlen(fields[i].value));
	}
	return G_LOG_WRITER_HANDLED;
}

void log_setup(const char *node, enum log_level lowest)
{
	static int installed;

	snprintf(node_name, sizeof(node_name), "%s", node);
	lowest_level = lowest;
	if (!installed)
		g_log_set_writer_func(write_line, NULL, NULL);
	installed = 1;
}

static void format_time(char *buf, size_t size)
{
	int64_t now = clk_wall_ms();
	time_t sec = (time_t)(now / 1000);
	struct tm tm;
	size_t len;

	gmtime_r(&sec, &tm);
	len = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + len, size - len, ".%03d", (int)(now % 1000));
}

static void write_event(enum log_level level, const char *event,
			const char *fmt, va_list ap)
{
	char line[LOG_LINE_BYTES];
	char when[40];
	size_t len;

	format_time(when, sizeof(when));
	len = (size_t)snprintf(line, sizeof(line),
			       "time=%s level=%s node=%s event=%s ", when,
			       level_names[level], node_name, event);
	vsnprintf(line + len, sizeof(line) - len, fmt, ap);
	len = strlen(line);
	if (len > sizeof(line) - 2)
		len = sizeof(line) - 2;
	line[len] = '\n';
	line[len + 1] = '\0';
	g_log_structured("mpin", G_LOG_LEVEL_MESSAGE, "MESSAGE", "%s", line);
}

static void report_dropped(void)
{
	unsigned long count = dropped;

	if (!count)
		return;
	dropped = 0;
	log_event(LOG_WARN, "log_dropped", "lines=%lu", count);
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	va_list ap;

	if (level < lowest_level)
		return;
	va_start(ap, fmt);
	write_event(level, event, fmt, ap);
	va_end(ap);
}

/* Lines written by log_request in the current second. */
static int64_t request_second;
static unsigned request_lines;

int log_request_allowed(enum log_level level)
{
	int64_t second = clk_ms() / 1000;

	if (level < lowest_level)
		return 0;
	if (second != request_second) {
		request_second = second;
		request_lines = 0;
		report_dropped();
	}
	if (request_lines < LOG_REQUEST_LINES)
		return 1;
	dropped++;
	return 0;
}

void log_request(enum log_level level, const char *event, const char *fmt, ...)
{
	va_list ap;

	if (!log_request_allowed(level))
		return;
	request_lines++;
	va_start(ap, fmt);
	write_event(level, event, fmt, ap);
	va_end(ap);
}

const char *log_quote(const char *s)
{
	static char buffers[8][256];
	static unsigned next;
	char *out = buffers[next++ % 8];
	size_t n = 0;

	if (s[0] && !strpbrk(s, " \"=\n\r\t"))
		return s;
	out[n++] = '"';
	for (; *s && n < sizeof(buffers[0]) - 3; s++) {
		if (*s == '"' || *s == '\\')
			out[n++] = '\\';
		out[n++] = (unsigned char)*s < ' ' ? ' ' : *s;
	}
	out[n++] = '"';
	out[n] = '\0';
	return out;
}
