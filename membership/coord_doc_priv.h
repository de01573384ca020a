#ifndef MEMBERSHIP_COORD_DOC_PRIV_H
#define MEMBERSHIP_COORD_DOC_PRIV_H

#include "membership/coord_priv.h"

/* Shared by coord_doc.c and coord_doc_restore.c only. */

/* A reading of the document from the store: the head, then its sections. */
struct doc_reading {
	struct doc_head head;
	int64_t mod_revision; /* of the head; 0: absent */
	uint64_t era;	      /* of mod_revision; 0: not told */
	/* The revision under which it is written; 0: it is only read. */
	uint64_t new_revision;
	struct doc_sections sections; /* those read or reused so far */
};

/* What to do with a head that was read. */
enum co_doc_action {
	CO_DOC_KEEP,	   /* nothing: the document in force stays */
	CO_DOC_TAKE,	   /* put its document in force */
	CO_DOC_RENUMBER,   /* the same, under a new revision */
	CO_DOC_WRITE_BACK, /* write the document in force to the store */
};

/* ---- coord_doc.c ---- */

void co_doc_section_key(const struct coord *c, char *out, size_t size,
			const char *name);
/* Notes that the document in force is the one whose head this is. */
void co_doc_note_stored(struct coord *c, const struct doc_head *head,
			int64_t mod_revision, uint64_t era);
/* Puts the document of the reading in force and ends the reading. */
void co_doc_apply_reading(struct coord *c);
/* Ends the reading; it begins again at once if reread is 1. */
void co_doc_end_reading(struct coord *c, int reread);

/* ---- coord_doc_restore.c ---- */

/* Decides on the head of the reading, which was asked for at asked_ms. */
enum co_doc_action co_doc_judge(struct coord *c, struct doc_reading *r,
				int64_t asked_ms);
/* Returns a revision above all that any node may have seen. */
uint64_t co_doc_unused_revision(const struct coord *c,
				const struct doc_head *head);
/*
 * Both write to the store, provided that the head has not changed since it was
 * read, and end the reading. The first writes the document in force, the second
 * the head of the reading under its new revision, whose document is then put in
 * force.
 */
void co_doc_write_back(struct coord *c);
void co_doc_write_renumbered(struct coord *c);

#endif
