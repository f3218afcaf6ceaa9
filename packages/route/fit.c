/* fit.c: least squares with fading weights. */
#include "route/fit.h"

#include <glib.h>

#define KEEP 0.98      /* weight kept by a point when the next one comes */
#define START_WEIGHT 6 /* points that each end of the first line counts for */
#define OUTLIER 4.0    /* a value beyond so many times the line is cut there */
#define LEAST_SPREAD 1e-9

static void add(Fit *f, double x, double y, double weight) {
  f->w += weight;
  f->x += weight * x;
  f->y += weight * y;
  f->xx += weight * x * x;
  f->xy += weight * x * y;
}

static void fade(Fit *f) {
  f->w *= KEEP;
  f->x *= KEEP;
  f->y *= KEEP;
  f->xx *= KEEP;
  f->xy *= KEEP;
}

void fit_start(Fit *f, double base, double slope, double span) {
  *f = (Fit){0};
  add(f, 0, base, START_WEIGHT);
  add(f, span, base + slope * span, START_WEIGHT);
}

double fit_slope(const Fit *f) {
  double spread = f->w * f->xx - f->x * f->x;
  if (spread < LEAST_SPREAD) return 0;
  return MAX(0, (f->w * f->xy - f->x * f->y) / spread);
}

double fit_at(const Fit *f, double x) {
  if (f->w <= 0) return 0;
  double at = f->y / f->w + fit_slope(f) * (x - f->x / f->w);
  return MAX(0, at);
}

void fit_add(Fit *f, double x, double y) {
  double line = fit_at(f, x);
  if (line > 0) y = CLAMP(y, line / OUTLIER, line * OUTLIER);
  fade(f);
  add(f, x, y, 1);
}
