/* Plots the spread of configurations with cairo; see fleetplot.h. */
#include "fleetplot.h"

#include <cairo.h>
#include <stdio.h>

#define WIDTH  720
#define HEIGHT 320
#define MARGIN 40

/* the longest time that a configuration took and the most processes that replaced one */
typedef struct extent {
	double ms;
	double processes;
} extent_t;

static extent_t extent_of(const lw_fleetlog_t *f)
{
	extent_t e = { 1, 1 };
	size_t n;

	for (size_t i = 0; i < f->nin_force; i += n) {
		double took;

		n = lw_fleetlog_version(f, i);
		took = (double)(f->in_force[i + n - 1].at_ms - f->in_force[i].at_ms);
		if (took > e.ms)
			e.ms = took;
		if ((double)n > e.processes)
			e.processes = (double)n;
	}
	return e;
}

static void draw_version(cairo_t *c, const lw_fleetlog_t *f, size_t from, size_t n,
			 const extent_t *e)
{
	cairo_move_to(c, MARGIN, HEIGHT - MARGIN);
	for (size_t i = 0; i < n; i++) {
		double ms = (double)(f->in_force[from + i].at_ms - f->in_force[from].at_ms);

		cairo_line_to(c, MARGIN + ms / e->ms * (WIDTH - 2 * MARGIN),
			      HEIGHT - MARGIN -
				      (double)(i + 1) / e->processes * (HEIGHT - 2 * MARGIN));
	}
	cairo_stroke(c);
}

static void draw_axes(cairo_t *c, const extent_t *e)
{
	char label[64];

	cairo_set_source_rgb(c, 0, 0, 0);
	cairo_set_line_width(c, 1);
	cairo_rectangle(c, MARGIN, MARGIN, WIDTH - 2 * MARGIN, HEIGHT - 2 * MARGIN);
	cairo_stroke(c);
	cairo_set_font_size(c, 11);
	snprintf(label, sizeof(label), "%.0f", e->processes);
	cairo_move_to(c, 4, MARGIN);
	cairo_show_text(c, label);
	snprintf(label, sizeof(label), "%.0f ms", e->ms);
	cairo_move_to(c, WIDTH - MARGIN - 20, HEIGHT - MARGIN / 2.0);
	cairo_show_text(c, label);
	cairo_move_to(c, MARGIN, MARGIN / 2.0);
	cairo_show_text(c, "processes that have each configuration in force, since the first one");
}

/* lw_fleet_plot() - draws one curve for each configuration; LW_ERR_IO if @path is not writable. */
lw_status_t lw_fleet_plot(const lw_fleetlog_t *f, const char *path)
{
	cairo_surface_t *surface = cairo_image_surface_create(CAIRO_FORMAT_RGB24, WIDTH, HEIGHT);
	cairo_t *c = cairo_create(surface);
	extent_t e = extent_of(f);
	cairo_status_t st;
	size_t n;

	cairo_set_source_rgb(c, 1, 1, 1);
	cairo_paint(c);
	draw_axes(c, &e);
	cairo_set_source_rgb(c, 0.1, 0.3, 0.8);
	for (size_t i = 0; i < f->nin_force; i += n) {
		n = lw_fleetlog_version(f, i);
		draw_version(c, f, i, n, &e);
	}
	st = cairo_surface_write_to_png(surface, path);
	cairo_destroy(c);
	cairo_surface_destroy(surface);
	if (st)
		return lw_error(LW_ERR_IO, "%s: %s; use a writable path", path,
				cairo_status_to_string(st));
	return LW_OK;
}
