/* fit.c: least squares with exponentially fading weights. */
#include "route/fit.h"

#include <glib.h>

/* Weight that a point keeps when the next one is added. */
#define POINT_KEEP_RATIO 0.98
/* Points that each end of the initial line counts for. */
#define INITIAL_WEIGHT 6
/* A value is clamped to this multiple of the line. */
#define OUTLIER_RATIO 4.0
#define MIN_SPREAD 1e-9

static void add_point(Fit *f, double x, double y, double weight) {
  f->w += weight;
  f->x += weight * x;
  f->y += weight * y;
  f->xx += weight * x * x;
  f->xy += weight * x * y;
}

static void fade_points(Fit *f) {
  f->w *= POINT_KEEP_RATIO;
  f->x *= POINT_KEEP_RATIO;
  f->y *= POINT_KEEP_RATIO;
  f->xx *= POINT_KEEP_RATIO;
  f->xy *= POINT_KEEP_RATIO;
}

void fit_init(Fit *f, double base, double slope, double span) {
  *f = (Fit){0};
  add_point(f, 0, base, INITIAL_WEIGHT);
  add_point(f, span, base + slope * span, INITIAL_WEIGHT);
}

double fit_slope(const Fit *f) {
  double spread = f->w * f->xx - f->x * f->x;
  if (spread < MIN_SPREAD) return 0;
  return MAX(0, (f->w * f->xy - f->x * f->y) / spread);
}

double fit_value(const Fit *f, double x) {
  if (f->w <= 0) return 0;
  double at = f->y / f->w + fit_slope(f) * (x - f->x / f->w);
  return MAX(0, at);
}

void fit_add(Fit *f, double x, double y) {
  double line = fit_value(f, x);
  if (line > 0) y = CLAMP(y, line / OUTLIER_RATIO, line * OUTLIER_RATIO);
  fade_points(f);
  add_point(f, x, y, 1);
}
