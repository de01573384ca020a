#include "standins/common_report.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BAR_WIDTH 40

static const char *const outcome_names[REPORT_OUTCOMES] = {
	[REPORT_ANSWERED] = "answered", [REPORT_NOT_RUN] = "not-run",
	[REPORT_UNKNOWN] = "unknown",	[REPORT_NONE] = "none",
	[REPORT_MISSING] = "missing",	[REPORT_UNSENT] = "unsent",
};

const char *common_report_outcome_name(enum report_outcome o)
{
	return outcome_names[o];
}

enum report_outcome common_report_parse_outcome(const char *name)
{
	for (int i = 0; i < REPORT_OUTCOMES; i++) {
		if (strcmp(name, outcome_names[i]) == 0)
			return (enum report_outcome)i;
	}
	return REPORT_MISSING;
}

enum err common_report_init(struct common_report *r, int64_t length_ms)
{
	memset(r, 0, sizeof(*r));
	r->length_ms = length_ms > 0 ? length_ms : 1;
	r->interval_ms = r->length_ms / COMMON_REPORT_INTERVALS + 1;
	if (r->interval_ms < 100)
		r->interval_ms = 100;
	r->intervals = calloc(COMMON_REPORT_INTERVALS, sizeof(*r->intervals));
	return r->intervals ? ERR_OK : ERR_NOMEM;
}

void common_report_finish(struct common_report *r)
{
	struct common_report_class *c;
	struct common_report_class *tmp;

	HASH_ITER(hh, r->classes, c, tmp) {
		HASH_DEL(r->classes, c);
		free(c->name);
		free(c);
	}
	free(r->intervals);
	r->intervals = NULL;
}

static struct common_report_class *find_class(struct common_report *r,
					      const char *name)
{
	struct common_report_class *c;

	HASH_FIND_STR(r->classes, name, c);
	if (c)
		return c;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->name = strdup(name);
	HASH_ADD_KEYPTR(hh, r->classes, c->name, strlen(c->name), c);
	return c;
}

static struct common_report_interval *find_interval(struct common_report *r,
						    int64_t at_ms)
{
	int64_t i = at_ms / r->interval_ms;

	if (i < 0)
		i = 0;
	if (i >= COMMON_REPORT_INTERVALS)
		i = COMMON_REPORT_INTERVALS - 1;
	return &r->intervals[i];
}

void common_report_add(struct common_report *r, const char *class_name,
		       enum report_outcome outcome, int status,
		       uint64_t latency_us, int64_t at_ms)
{
	struct common_report_class *c = find_class(r, class_name);
	struct common_report_interval *v = find_interval(r, at_ms);

	c->outcomes[outcome]++;
	if (status > 0 && status < 600)
		r->status_counts[status]++;
	if (outcome == REPORT_ANSWERED) {
		v->answered++;
		hist_add(&c->answered, latency_us);
		hist_add(&v->latency, latency_us);
	} else {
		v->other++;
		hist_add(&c->other, latency_us);
	}
}

uint64_t common_report_count(const struct common_report *r,
			     enum report_outcome outcome)
{
	const struct common_report_class *c;
	uint64_t n = 0;

	for (c = r->classes; c; c = c->hh.next)
		n += c->outcomes[outcome];
	return n;
}

static void write_quantiles(const char *name, const struct hist *h, FILE *out)
{
	fprintf(out, "  %-28s %9" PRIu64, name, h->count);
	fprintf(out, " %9.2f", (double)hist_quantile(h, 0.5) / 1000.);
	fprintf(out, " %9.2f", (double)hist_quantile(h, 0.9) / 1000.);
	fprintf(out, " %9.2f", (double)hist_quantile(h, 0.99) / 1000.);
	fprintf(out, " %9.2f", (double)hist_quantile(h, 0.999) / 1000.);
	fprintf(out, " %9.2f\n", (double)h->max / 1000.);
}

static void write_latencies(const struct common_report *r, FILE *out)
{
	const struct common_report_class *c;
	struct hist all;

	hist_init(&all);
	fprintf(out, "latency of answered requests in ms\n  %-28s %9s", "class",
		"count");
	fprintf(out, " %9s %9s %9s %9s %9s\n", "p50", "p90", "p99", "p99.9",
		"max");
	for (c = r->classes; c; c = c->hh.next) {
		hist_merge(&all, &c->answered);
		write_quantiles(c->name, &c->answered, out);
	}
	write_quantiles("all", &all, out);
	hist_init(&all);
	for (c = r->classes; c; c = c->hh.next)
		hist_merge(&all, &c->other);
	write_quantiles("all that were not answered", &all, out);
}

static uint64_t count_below(const struct hist *h, uint64_t bound)
{
	uint64_t n = 0;

	/*
	 * From HIST_SUB on, each power of two is the lower end of a bucket, so
	 * that the count is exact for these bounds.
	 */
	for (unsigned i = 0; i < HIST_BUCKETS; i++) {
		uint64_t first = i < HIST_SUB
					 ? i
					 : (uint64_t)(HIST_SUB + i % HIST_SUB)
						   << (i / HIST_SUB - 1);
		if (first >= bound)
			break;
		n += h->bucket[i];
	}
	return n;
}

static void write_histogram(const struct common_report_class *c, FILE *out)
{
	uint64_t below = 0;
	uint64_t bound = 128;

	fprintf(out, "histogram of %s\n", c->name);
	while (below < c->answered.count) {
		uint64_t n = count_below(&c->answered, bound) - below;
		int width = (int)(n * BAR_WIDTH / c->answered.count);

		if (n)
			fprintf(out, "  < %10.3f ms %9" PRIu64 " %.*s\n",
				(double)bound / 1000., n, width,
				"########################################");
		below += n;
		bound *= 2;
	}
}

static void write_counts(const struct common_report *r, FILE *out)
{
	fprintf(out, "requests by outcome\n");
	for (int i = 0; i < REPORT_OUTCOMES; i++) {
		uint64_t n = common_report_count(r, (enum report_outcome)i);

		if (n)
			fprintf(out, "  %-28s %9" PRIu64 "\n", outcome_names[i],
				n);
	}
	fprintf(out, "responses by status\n");
	for (int i = 0; i < 600; i++) {
		if (r->status_counts[i])
			fprintf(out, "  %-28d %9" PRIu64 "\n", i,
				r->status_counts[i]);
	}
}

void common_report_write_text(const struct common_report *r, FILE *out)
{
	const struct common_report_class *c;

	write_counts(r, out);
	write_latencies(r, out);
	for (c = r->classes; c; c = c->hh.next) {
		if (c->answered.count)
			write_histogram(c, out);
	}
}

#define SVG_WIDTH 800
#define SVG_HEIGHT 360
#define SVG_LEFT 70
#define SVG_TOP 30
#define SVG_PLOT_WIDTH 700
#define SVG_PLOT_HEIGHT 280
#define SVG_MIN_US 100. /* lower end of the logarithmic axis */

struct curve {
	const char *name;
	const char *colour;
	double quantile;
};

static const struct curve curves[] = {
	{ "median", "#1f77b4", 0.5 },
	{ "99th percentile", "#ff7f0e", 0.99 },
	{ "largest", "#d62728", 1.0 },
};

#define CURVES (sizeof(curves) / sizeof(curves[0]))

static double svg_x(const struct common_report *r, int64_t ms)
{
	return SVG_LEFT + (double)ms * SVG_PLOT_WIDTH / (double)r->length_ms;
}

static double svg_y(double us, double decades)
{
	double height = log10(us < SVG_MIN_US ? 1. : us / SVG_MIN_US);

	return SVG_TOP + SVG_PLOT_HEIGHT * (1. - height / decades);
}

static double find_decades(const struct common_report *r)
{
	double largest = SVG_MIN_US * 10;

	for (int i = 0; i < COMMON_REPORT_INTERVALS; i++)
		largest = fmax(largest, (double)r->intervals[i].latency.max);
	return ceil(log10(largest / SVG_MIN_US));
}

static void svg_axes(const struct common_report *r, double decades, FILE *out)
{
	for (int i = 0; i <= (int)decades; i++) {
		double us = SVG_MIN_US * pow(10, i);
		double y = svg_y(us, decades);

		fprintf(out,
			"<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' "
			"stroke='#ccc'/>\n<text x='%d' y='%.1f' "
			"text-anchor='end'>%g ms</text>\n",
			SVG_LEFT, SVG_LEFT + SVG_PLOT_WIDTH, y, y, SVG_LEFT - 6,
			y + 4, us / 1000.);
	}
	for (int i = 0; i <= 5; i++) {
		int64_t ms = r->length_ms * i / 5;

		fprintf(out,
			"<text x='%.1f' y='%d' text-anchor='middle'>"
			"%.1f s</text>\n",
			svg_x(r, ms), SVG_TOP + SVG_PLOT_HEIGHT + 18,
			(double)ms / 1000.);
	}
}

static void svg_curve(const struct common_report *r, const struct curve *c,
		      double decades, FILE *out)
{
	fprintf(out, "<polyline fill='none' stroke='%s' points='", c->colour);
	for (int i = 0; i < COMMON_REPORT_INTERVALS; i++) {
		const struct hist *h = &r->intervals[i].latency;
		int64_t ms = i * r->interval_ms + r->interval_ms / 2;

		if (h->count)
			fprintf(out, "%.1f,%.1f ", svg_x(r, ms),
				svg_y((double)hist_quantile(h, c->quantile),
				      decades));
	}
	fprintf(out, "'/>\n");
}

enum err common_report_write_svg(const struct common_report *r,
				 const char *path, struct err_info *info)
{
	double decades = find_decades(r);
	FILE *out = fopen(path, "we");

	if (!out)
		return err_set(info, ERR_SYSTEM, "%s: %s", path,
			       strerror(errno));
	fprintf(out,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
		"height='%d' font-family='sans-serif' font-size='12'>\n"
		"<rect width='100%%' height='100%%' fill='white'/>\n",
		SVG_WIDTH, SVG_HEIGHT);
	svg_axes(r, decades, out);
	for (size_t i = 0; i < CURVES; i++) {
		svg_curve(r, &curves[i], decades, out);
		fprintf(out, "<text x='%zu' y='18' fill='%s'>%s</text>\n",
			SVG_LEFT + i * 150, curves[i].colour, curves[i].name);
	}
	fprintf(out,
		"<text x='%d' y='%d'>latency from the intended send time, "
		"by time of the load</text>\n</svg>\n",
		SVG_LEFT, SVG_HEIGHT - 8);
	return fclose(out) == 0 ? ERR_OK
				: err_set(info, ERR_SYSTEM, "%s", path);
}
