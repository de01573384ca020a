#include "common/step.h"
#include "common/clk.h"
#include "common/log.h"

#include <string.h>
#include <time.h>

#define UNNAMED_PART "other"

static struct step_meter *meter;

static int64_t processor_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void end_part(struct step_meter *m, int64_t now_ns)
{
	if (now_ns - m->part_start_ns > m->longest_ns) {
		m->longest_ns = now_ns - m->part_start_ns;
		m->longest_part = m->part;
	}
	m->part_start_ns = now_ns;
}

void step_enter(const char *name)
{
	if (!meter)
		return;
	end_part(meter, clk_ns());
	meter->part = name;
}

static void log_long_step(struct step_meter *m, int64_t cpu_us, int64_t now_ns)
{
	int64_t now_ms = now_ns / 1000000;

	if (now_ms - m->logged_ms < STEP_LOG_MS) {
		m->unlogged++;
		return;
	}
	log_warn("step_long",
		 "part=%s cpu_us=%lld took_us=%lld part_us=%lld unlogged=%u",
		 m->longest_part, (long long)cpu_us,
		 (long long)(now_ns - m->step_start_ns) / 1000,
		 (long long)m->longest_ns / 1000, m->unlogged);
	m->logged_ms = now_ms;
	m->unlogged = 0;
}

static void note_step_time(struct step_meter *m, int64_t now_ns)
{
	int64_t took_ns = now_ns - m->step_start_ns;

	if (now_ns - m->period_start_ns > (int64_t)STEP_PERIOD_MS * 1000000) {
		m->longest_step_ns[1] = m->longest_step_ns[0];
		m->longest_step_ns[0] = 0;
		m->period_start_ns = now_ns;
	}
	if (took_ns > m->longest_step_ns[0])
		m->longest_step_ns[0] = took_ns;
}

int64_t step_meter_previous_ms(const struct step_meter *m)
{
	return m->previous_start_ns / 1000000;
}

int64_t step_meter_longest_ms(const struct step_meter *m)
{
	int64_t longest_ns = m->longest_step_ns[0];

	if (m->longest_step_ns[1] > longest_ns)
		longest_ns = m->longest_step_ns[1];
	return longest_ns / 1000000;
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct step_meter *m = w->data;
	int64_t cpu_ns = processor_ns();
	int64_t cpu_us = (cpu_ns - m->cpu_ns) / 1000;
	int64_t now_ns = clk_ns();

	(void)loop;
	(void)events;
	end_part(m, now_ns);
	/* The wait's own processor time is counted in as well. */
	if (cpu_us > (now_ns - m->step_start_ns) / 1000)
		cpu_us = (now_ns - m->step_start_ns) / 1000;
	hist_add(m->steps, (uint64_t)cpu_us);
	note_step_time(m, now_ns);
	if (cpu_us > STEP_LONG_US)
		log_long_step(m, cpu_us, now_ns);
	m->cpu_ns = cpu_ns;
}

static void on_after_wait(struct ev_loop *loop, ev_check *w, int events)
{
	struct step_meter *m = w->data;

	(void)loop;
	(void)events;
	m->previous_start_ns = m->step_start_ns;
	m->step_start_ns = clk_ns();
	m->part_start_ns = m->step_start_ns;
	m->longest_ns = 0;
	m->part = UNNAMED_PART;
	m->longest_part = UNNAMED_PART;
}

enum err step_meter_init(struct step_meter *m, struct ev_loop *loop,
			 struct cnt *cnt)
{
	memset(m, 0, sizeof(*m));
	m->loop = loop;
	m->steps = cnt_hist(cnt, "loop_step_us", "");
	if (!m->steps)
		return ERR_NOMEM;
	m->cpu_ns = processor_ns();
	m->step_start_ns = clk_ns();
	m->previous_start_ns = m->step_start_ns;
	m->period_start_ns = m->step_start_ns;
	m->part_start_ns = m->step_start_ns;
	m->part = "start";
	m->longest_part = m->part;
	m->logged_ms = -STEP_LOG_MS;
	/* The last callback before the wait and the first one after it. */
	ev_prepare_init(&m->before_wait, on_before_wait);
	ev_set_priority(&m->before_wait, EV_MINPRI);
	m->before_wait.data = m;
	ev_prepare_start(loop, &m->before_wait);
	ev_check_init(&m->after_wait, on_after_wait);
	ev_set_priority(&m->after_wait, EV_MAXPRI);
	m->after_wait.data = m;
	ev_check_start(loop, &m->after_wait);
	/* Do not keep the loop alive. */
	ev_unref(loop);
	ev_unref(loop);
	meter = m;
	return ERR_OK;
}

void step_meter_finish(struct step_meter *m)
{
	if (!m->loop)
		return;
	ev_ref(m->loop);
	ev_ref(m->loop);
	ev_prepare_stop(m->loop, &m->before_wait);
	ev_check_stop(m->loop, &m->after_wait);
	meter = NULL;
}
