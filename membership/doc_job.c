#include "membership/doc_job.h"
#include "common/step.h"

static void end_job(struct doc_job *j)
{
	struct doc_update u = j->update;
	struct doc_sections sections;
	struct doc d;
	enum err e;

	/* done() may start the next job. */
	j->active = 0;
	e = doc_update_end(&u, &d, &sections);
	j->done(e, &d, &sections, &u.problems, j->priv);
	doc_update_finish(&u);
}

static void run_step(struct doc_job *j)
{
	if (doc_update_step(&j->update, DOC_JOB_SECTIONS))
		ev_timer_start(j->loop, &j->timer);
	else
		end_job(j);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("doc_job");
	run_step(w->data);
}

void doc_job_init(struct doc_job *j, struct ev_loop *loop,
		  void (*done)(enum err e, struct doc *d,
			       struct doc_sections *sections,
			       const struct buf *problems, void *priv),
		  void *priv)
{
	j->loop = loop;
	j->active = 0;
	j->done = done;
	j->priv = priv;
	ev_timer_init(&j->timer, on_timer, 0., 0.);
	j->timer.data = j;
}

void doc_job_start(struct doc_job *j, const struct doc *d,
		   const struct doc_sections *sections,
		   struct doc_sections *changes)
{
	doc_job_cancel(j);
	j->active = 1;
	doc_update_init(&j->update, d, sections, changes);
	if (j->update.changes.count <= DOC_JOB_SECTIONS)
		run_step(j);
	else
		ev_timer_start(j->loop, &j->timer);
}

void doc_job_cancel(struct doc_job *j)
{
	if (!j->active)
		return;
	ev_timer_stop(j->loop, &j->timer);
	doc_update_finish(&j->update);
	j->active = 0;
}
