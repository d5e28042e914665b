/* Plots a simulation run of lwsim with cairo; see simplot.h. */
#include "simplot.h"

#include <cairo.h>
#include <stdio.h>

#define WIDTH  720
#define HEIGHT 320
#define MARGIN 40

static void draw_series(cairo_t *c, const lw_sim_t *s, const uint32_t *at, double peak)
{
	double step = (WIDTH - 2.0 * MARGIN) / s->length_s;

	for (uint32_t t = 0; t < (uint32_t)s->length_s && t < LW_SIM_SECONDS_MAX; t++) {
		double y = HEIGHT - MARGIN - at[t] / peak * (HEIGHT - 2.0 * MARGIN);

		if (t)
			cairo_line_to(c, MARGIN + (t + 0.5) * step, y);
		else
			cairo_move_to(c, MARGIN + 0.5 * step, y);
	}
	cairo_stroke(c);
}

static void draw_axes(cairo_t *c, const lw_sim_t *s, double peak)
{
	char label[64];

	cairo_set_source_rgb(c, 0, 0, 0);
	cairo_rectangle(c, MARGIN, MARGIN, WIDTH - 2 * MARGIN, HEIGHT - 2 * MARGIN);
	cairo_set_line_width(c, 1);
	cairo_stroke(c);
	cairo_set_font_size(c, 11);
	snprintf(label, sizeof(label), "%.0f/s", peak);
	cairo_move_to(c, 4, MARGIN);
	cairo_show_text(c, label);
	snprintf(label, sizeof(label), "%.0f s", s->length_s);
	cairo_move_to(c, WIDTH - MARGIN, HEIGHT - MARGIN / 2.0);
	cairo_show_text(c, label);
	cairo_move_to(c, MARGIN, MARGIN / 2.0);
	cairo_show_text(
		c, "user requests sent (grey) and answered within the objective (blue), by second");
}

/* lw_sim_plot() - plot user requests sent and answered in time, by second, to a PNG file. */
lw_status_t lw_sim_plot(const lw_sim_t *s, const char *path)
{
	cairo_surface_t *surface = cairo_image_surface_create(CAIRO_FORMAT_RGB24, WIDTH, HEIGHT);
	cairo_t *c = cairo_create(surface);
	cairo_status_t st;
	double peak = 1;

	for (uint32_t t = 0; t < LW_SIM_SECONDS_MAX; t++)
		if (s->asked_at[t] > peak)
			peak = s->asked_at[t];
	cairo_set_source_rgb(c, 1, 1, 1);
	cairo_paint(c);
	draw_axes(c, s, peak);
	cairo_set_line_width(c, 2);
	cairo_set_source_rgb(c, 0.6, 0.6, 0.6);
	draw_series(c, s, s->asked_at, peak);
	cairo_set_source_rgb(c, 0.1, 0.3, 0.8);
	draw_series(c, s, s->good_at, peak);
	st = cairo_surface_write_to_png(surface, path);
	cairo_destroy(c);
	cairo_surface_destroy(surface);
	if (st)
		return lw_error(LW_ERR_IO, "%s: %s; use a writable path", path,
				cairo_status_to_string(st));
	return LW_OK;
}
