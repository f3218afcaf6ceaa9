/* budgetlog.h: log lines about the tokens of a budget. */
#ifndef FLEET_BUDGETLOG_H
#define FLEET_BUDGETLOG_H

#include "ledger/ledger.h"

/* A LEDGER_ACTION_DENIED: where the tokens are that a home could not give
   out. */
void budgetlog_denied(const LedgerAction *a);
/* A LEDGER_ACTION_SEALED. */
void budgetlog_sealed(const LedgerAction *a);

#endif
