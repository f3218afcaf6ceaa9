/* account.h: where worth is lost, worked out from log lines: by route and
   cause, the largest loss first, with the mean of the inputs that decided; by
   moment; by customer; and the evacuations meanwhile. */
#ifndef REPORT_ACCOUNT_H
#define REPORT_ACCOUNT_H

#include <jansson.h>
#include <stdio.h>

typedef struct Account Account;

Account *report_account_new(void);
void report_account_free(Account *a);
/* Lines of events other than requests are passed over. */
void report_account_add(Account *a, const json_t *line);
void report_account_print(const Account *a, FILE *out);

/* How a request of the log ended: "in aim", "late: ...", "failed: ...", or the
   error that it was refused with. */
const char *report_cause(const json_t *line);

#endif
