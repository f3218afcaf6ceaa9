/* explain.h: the lines of one request, and what its instance believed. */
#ifndef REPORT_EXPLAIN_H
#define REPORT_EXPLAIN_H

#include <stdbool.h>
#include <stdio.h>

/* Prints them in order of time; false when no line names the request. `in` is
   read twice: it must be a file that can be rewound. */
bool report_explain(FILE *in, const char *request, FILE *out);

#endif
