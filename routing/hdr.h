#ifndef ROUTING_HDR_H
#define ROUTING_HDR_H

/*
 * Validation of HTTP request lines and headers, and the filter for headers
 * that are forwarded. All functions return 1 for yes and 0 for no.
 */

/* Is it a token by RFC 9110, as methods and header names must be? */
int hdr_is_token(const char *s);
/* Is it a header value without control characters other than tab? */
int hdr_value_is_valid(const char *s);
/*
 * Is it a request target in origin form: starting with "/", and ASCII without
 * blanks, control characters and "#"?
 */
int hdr_target_is_valid(const char *s);

/*
 * Is the header to be forwarded? It is not if it is hop-by-hop or describes the
 * framing or an expectation (Expect), if its name starts with "Monsoonpin-", or
 * if connection lists it. connection is the value of the message's Connection
 * header, or NULL.
 */
int hdr_is_forwardable(const char *name, const char *connection);

#endif
