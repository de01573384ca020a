#ifndef ROUTING_HDR_H
#define ROUTING_HDR_H

/* Which HTTP headers and request lines are passed on. */

/* A method or header name by RFC 9110: not empty, no separators. */
int hdr_is_token(const char *s);
/* A header value without control characters other than tab. */
int hdr_value_is_valid(const char *s);
/* A request target in origin form: "/" and no blanks, controls or "#". */
int hdr_target_is_valid(const char *s);

/*
 * May the header be passed on? Not if it belongs to one connection (hop by
 * hop, or named in the value of a Connection header, which may be NULL), if
 * it describes the framing, or if it starts with "Monsoonpin-".
 */
int hdr_is_forwardable(const char *name, const char *connection);

#endif
