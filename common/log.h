#ifndef COMMON_LOG_H
#define COMMON_LOG_H

/*
 * Writes one line of key=value pairs for each event to standard output, through
 * GLib's logging:
 *
 *	time=2026-01-02T03:04:05.678 level=info node=n01 event=joined term=3
 *
 * The format after the event name must itself be key=value pairs. Values
 * that may hold spaces are passed through LOG_Q, which quotes them.
 *
 * A line is written with one system call. If standard output is not writable,
 * e.g. because the reader of a pipe is slow, the line is dropped and counted;
 * logging never blocks.
 */

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/* Sets the node name of all lines and the lowest level that is written. */
void log_setup(const char *node, enum log_level lowest);

/* Writes an event if its level is at least the lowest one set. */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Writes an event about a single request. At most LOG_REQUEST_LINES such lines
 * are written per second, which limits the volume under load. Dropped lines are
 * counted and reported by the event "log_dropped".
 */
#define LOG_REQUEST_LINES 100
void log_request(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/*
 * Returns 1 if log_request would write a line of this level now. A return of 0
 * because of the limit counts as a dropped line.
 */
int log_request_allowed(enum log_level level);

/*
 * Returns s, in quotes if it is empty or holds a space, quote, '=', tab or line
 * break. The quoted text is in one of eight buffers used in turn, so it stays
 * valid for the next seven calls. It is cut to 255 bytes.
 */
const char *log_quote(const char *s);
#define LOG_Q(s) log_quote(s)

#define log_debug(...) log_event(LOG_DEBUG, __VA_ARGS__)
#define log_info(...) log_event(LOG_INFO, __VA_ARGS__)
#define log_warn(...) log_event(LOG_WARN, __VA_ARGS__)
#define log_error(...) log_event(LOG_ERROR, __VA_ARGS__)

#endif
