#ifndef PROTOCOL_WIRE_H
#define PROTOCOL_WIRE_H

#include "protocol/wire.pb-c.h"

/*
 * Return a deep copy of a message, or NULL if out of memory. The caller frees
 * the copy with the message's free_unpacked function.
 */
Wire__Node *wire_copy_node(const Wire__Node *n);
Wire__Target *wire_copy_target(const Wire__Target *t);
Wire__Forward *wire_copy_forward(const Wire__Forward *f);

#endif
