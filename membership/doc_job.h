#ifndef MEMBERSHIP_DOC_JOB_H
#define MEMBERSHIP_DOC_JOB_H

#include "config/doc.h"

#include <ev.h>

/*
 * Makes a document from the one before it and changes, in steps between which
 * the loop does other work: reading thousands of routes in one go would hold up
 * requests and signals.
 */

/* Sections read in one step; each takes about 15 us of processor time. */
#define DOC_JOB_SECTIONS 64

struct doc_job {
	struct ev_loop *loop;
	ev_timer timer;
	int active;
	struct doc_update update;
	/*
	 * Called once, unless the job is cancelled. On ERR_OK, it takes over d
	 * and sections; else problems tells what is wrong.
	 */
	void (*done)(enum err e, struct doc *d, struct doc_sections *sections,
		     const struct buf *problems, void *priv);
	void *priv;
};

void doc_job_init(struct doc_job *j, struct ev_loop *loop,
		  void (*done)(enum err e, struct doc *d,
			       struct doc_sections *sections,
			       const struct buf *problems, void *priv),
		  void *priv);
/*
 * Starts the job, as doc_update_init; cancels one that is active. done may be
 * called from inside if there is little to do.
 */
void doc_job_start(struct doc_job *j, const struct doc *d,
		   const struct doc_sections *sections,
		   struct doc_sections *changes);
/* Does nothing if no job is active. */
void doc_job_cancel(struct doc_job *j);

#endif
