/* slopes.h: how the slopes are taken and printed. */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include "member/view.h"

/* Processor time of this process. */
double slopes_ns(void);
/* Bytes in use on the heap. */
double slopes_heap(void);
void slopes_out(const char *what, int n, double value);
/* `n` instances in 7 regions and 26 data centres. */
View *slopes_view(int n);

/* == claims.c == */

void claims_slopes(int n);

#endif
