#ifndef TRANSPORT_ADDR_H
#define TRANSPORT_ADDR_H

#include "common/err.h"

#include <netinet/in.h>

/*
 * Fills sa from a dotted IPv4 address and a port. Returns ERR_OK, or ERR_RANGE
 * if address is not such an address (e.g. a host name) or port exceeds 65535.
 */
enum err addr_parse(struct sockaddr_in *sa, const char *address, unsigned port);

#endif
