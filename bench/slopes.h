/* slopes.h: measures and prints slopes, the cost of one more item of a kind. */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include "member/view.h"

/* CPU time of this process. */
double slopes_cpu_ns(void);
/* Heap bytes in use. */
double slopes_heap_bytes(void);
/* Prints one measurement as a JSON line. */
void slopes_print(const char *what, int n, double value);
/* A view of `n` instances in 7 regions and 26 data centres. */
View *slopes_view(int n);

/* == claims.c == */

void claims_measure(int n);

#endif
