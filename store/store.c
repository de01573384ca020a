#include "store/store.h"

int store_answer_is_old(const struct store_known *known, int64_t revision,
			uint64_t era, int wrote)
{
	/* Revisions of different eras cannot be compared. */
	if (!era || era != known->era)
		return 0;
	return wrote ? revision <= known->revision : revision < known->revision;
}

void store_note_revision(struct store_known *known, int64_t revision,
			 uint64_t era)
{
	if (era == known->era && revision <= known->revision)
		return;
	known->revision = revision;
	known->era = era;
}
