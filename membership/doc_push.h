#ifndef MEMBERSHIP_DOC_PUSH_H
#define MEMBERSHIP_DOC_PUSH_H

#include "config/doc.h"
#include "protocol/wire.pb-c.h"

/* Converts between a DocPush message and the sections of a document. */

/*
 * Allocates room for count sections in *p; to be freed by doc_push_finish, also
 * if it returns ERR_NOMEM.
 */
enum err doc_push_init(Wire__DocPush *p, size_t count);
/*
 * Adds a section, whose text must stay valid; removed: the section's name
 * alone. Returns ERR_NOMEM without memory; the push must not be sent then.
 */
enum err doc_push_add(Wire__DocPush *p, const struct doc_section *s,
		      int removed);
/* Does the same for all sections. */
enum err doc_push_add_all(Wire__DocPush *p, const struct doc_sections *all);
void doc_push_finish(Wire__DocPush *p);

/*
 * Writes the sections of the push to out, which the caller finishes in any
 * case: the changes to the document that it builds on, or the whole document if
 * it builds on none.
 */
enum err doc_push_read(const Wire__DocPush *p, struct doc_sections *out);
/*
 * Writes the changes that lead from base, which is what the push builds on or
 * any document if it builds on none, to the document of the push.
 */
enum err doc_push_read_changes(const Wire__DocPush *p,
			       const struct doc_sections *base,
			       struct doc_sections *changes);

#endif
