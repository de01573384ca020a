#ifndef COMMON_LOG_H
#define COMMON_LOG_H

/*
 * One line of key=value pairs for each event, through GLib's logging, on
 * standard output:
 *
 *	time=2026-01-02T03:04:05.678 level=info node=n01 event=joined term=3
 *
 * The format after the event name must itself be key=value pairs. Values
 * that may hold spaces are passed through LOG_Q, which quotes them.
 *
 * A line is written with one call. If standard output takes no more, as when
 * its reader is slow, the line is dropped and counted; the writer never waits.
 */

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/* Sets the node name of all lines and the lowest level that is written. */
void log_setup(const char *node, enum log_level lowest);

void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Lines about single requests: at most LOG_REQUEST_LINES a second, so that the
 * volume stays bounded under load. What is left out is counted and stated in a
 * line "log_dropped".
 */
#define LOG_REQUEST_LINES 100
void log_request(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* 1 if a line of this level about a request would be written now. */
int log_request_on(enum log_level level);

/* Quotes s if needed; the result lives in one of eight rotating buffers. */
const char *log_quote(const char *s);
#define LOG_Q(s) log_quote(s)

#define log_debug(...) log_event(LOG_DEBUG, __VA_ARGS__)
#define log_info(...) log_event(LOG_INFO, __VA_ARGS__)
#define log_warn(...) log_event(LOG_WARN, __VA_ARGS__)
#define log_error(...) log_event(LOG_ERROR, __VA_ARGS__)

#endif
