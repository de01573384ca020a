#ifndef CONFIG_DOC_LINT_H
#define CONFIG_DOC_LINT_H

#include "config/doc.h"

/*
 * Finds entries of a valid document that have no effect or contradict others.
 * Unlike the problems of doc_parse they do not keep the document from being put
 * into force.
 */

/*
 * Appends one line for each finding, "PATH: what is stated and why it has no
 * effect", in the order of the document's services and then its routes. The
 * routes that services make by their own prefixes are left out. Returns ERR_OK,
 * or ERR_NOMEM with a part of the findings.
 */
enum err doc_lint(const struct doc *d, struct buf *out);

#endif
