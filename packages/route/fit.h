/* fit.h: a straight line through recent points, y = base + slope * x; pure. */
#ifndef ROUTE_FIT_H
#define ROUTE_FIT_H

/* Weighted sums; each new point reduces the weight of the older ones. */
typedef struct Fit {
  double w, x, y, xx, xy;
} Fit;

/* Starts as if points on that line had been seen, up to `span`. */
void fit_init(Fit *f, double base, double slope, double span);
void fit_add(Fit *f, double x, double y);
/* The results are never below 0. */
double fit_slope(const Fit *f);
double fit_value(const Fit *f, double x);

#endif
