#include "common/step.h"
#include "common/clk.h"
#include "test/unit/fake.h"

#include <signal.h>

/* Takes processor time, not only time. */
static void work(int ms)
{
	struct timespec t;
	int64_t end_ns;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	end_ns = (int64_t)t.tv_sec * 1000000000 + t.tv_nsec +
		 (int64_t)ms * 1000000;
	do {
		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	} while ((int64_t)t.tv_sec * 1000000000 + t.tv_nsec < end_ns);
}

static void on_work(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("short_part");
	work(1);
	step_enter("long_part");
	work(8);
	step_enter("short_part");
	(*(unsigned *)w->data)++;
}

static char lines[4096];

static GLogWriterOutput capture(GLogLevelFlags level, const GLogField *fields,
				gsize count, gpointer priv)
{
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			g_strlcat(lines, fields[i].value, sizeof(lines));
	}
	g_strlcat(lines, "\n", sizeof(lines));
	return G_LOG_WRITER_HANDLED;
}

static unsigned count_lines(const char *text)
{
	unsigned n = 0;

	for (const char *p = lines; (p = strstr(p, text)); p++)
		n++;
	return n;
}

/*
 * Guards against a step of the loop that holds up everything else and leaves no
 * trace: the metric must have it, and one line a second must name the part that
 * took longest.
 */
static void test_long_step(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct step_meter m;
	unsigned runs = 0;
	struct cnt cnt;
	struct hist *h;
	ev_timer t;

	g_log_set_writer_func(capture, NULL, NULL);
	cnt_init(&cnt);
	g_assert_cmpint(step_meter_init(&m, loop, &cnt), ==, ERR_OK);
	h = cnt_hist(&cnt, "loop_step_us", "");
	ev_timer_init(&t, on_work, 0.001, 0.001);
	t.data = &runs;
	ev_timer_start(loop, &t);
	fake_wait(loop, &runs, 5);
	g_assert_cmpuint(h->max, >=, 9000);
	g_assert_cmpuint(h->count, >=, 4);
	g_assert_cmpuint(count_lines("event=step_long"), ==, 1);
	g_assert_cmpuint(count_lines("part=long_part"), ==, 1);
	/* The next line counts those that were left out. */
	ev_timer_stop(loop, &t);
	fake_pause(loop, STEP_LOG_MS);
	ev_timer_start(loop, &t);
	fake_wait(loop, &runs, 7);
	g_assert_cmpuint(count_lines("event=step_long"), ==, 2);
	g_assert_cmpuint(count_lines("unlogged=0"), ==, 1);
	step_meter_finish(&m);
	ev_timer_stop(loop, &t);
	ev_loop_destroy(loop);
	cnt_finish(&cnt);
}

/* Sends itself a signal and goes on for a while. */
static void on_signal_work(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	raise(SIGUSR1);
	work(120);
	*(int64_t *)w->data = clk_ms();
}

struct stop {
	struct step_meter m;
	unsigned signals;
	int64_t counted_from_ms;
	int64_t longest_ms;
};

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct stop *s = w->data;

	(void)loop;
	(void)events;
	s->counted_from_ms = step_meter_previous_ms(&s->m);
	s->longest_ms = step_meter_longest_ms(&s->m);
	s->signals++;
}

/*
 * Guards against a stop whose grace period is counted from when the loop gets
 * to the signal, or whose end is planned as if no step took long: the process
 * would be killed with requests open (review/4).
 */
static void test_signal_in_long_step(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	int64_t worked_until_ms = 0;
	struct stop s = { 0 };
	struct cnt cnt;
	ev_signal sig;
	ev_timer t;

	cnt_init(&cnt);
	g_assert_cmpint(step_meter_init(&s.m, loop, &cnt), ==, ERR_OK);
	ev_signal_init(&sig, on_stop_signal, SIGUSR1);
	sig.data = &s;
	ev_signal_start(loop, &sig);
	ev_timer_init(&t, on_signal_work, 0.001, 0.);
	t.data = &worked_until_ms;
	ev_timer_start(loop, &t);
	fake_wait(loop, &s.signals, 1);
	g_assert_cmpint(s.counted_from_ms, <=, worked_until_ms - 120);
	g_assert_cmpint(s.longest_ms, >=, 120);
	ev_signal_stop(loop, &sig);
	step_meter_finish(&s.m);
	ev_loop_destroy(loop);
	cnt_finish(&cnt);
}

/* Guards against a meter that keeps a loop without other watchers running. */
static void test_loop_ends(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct step_meter m;
	struct cnt cnt;

	cnt_init(&cnt);
	g_assert_cmpint(step_meter_init(&m, loop, &cnt), ==, ERR_OK);
	ev_run(loop, 0);
	step_meter_finish(&m);
	ev_loop_destroy(loop);
	cnt_finish(&cnt);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/step/long_step", test_long_step);
	g_test_add_func("/step/signal_in_long_step", test_signal_in_long_step);
	g_test_add_func("/step/loop_ends", test_loop_ends);
	return g_test_run();
}
