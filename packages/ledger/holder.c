/* holder.c: reservations and settlements against this instance's accounts. An
   account is the part of a grant that this instance may spend. */
#include "ledger/state.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define DEMAND_AVERAGE_S 10.0 /* time constant of the average of demand */
/* An account of a home that is not the first choice stays open while that home
   has sent an ALLOT within this time. */
#define ACTIVE_HOME_S 5.0
/* A home that answered within this time is reachable. */
#define RECENT_ANSWER_S 1.0
#define MAX_HOME_CHOICES 4 /* homes that are tried one after the other */
/* Sent with a refusal while other holders return tokens. */
#define RETRY_AFTER_MS 1000
/* Sent with a refusal during a store outage, which lasts 4 to 9 s. */
#define RETRY_AFTER_OUTAGE_MS 5000
/* Time after which a DRAW goes to the first choice again. */
#define FIRST_CHOICE_RETRY_S 3.0
/* After this time without a request an instance keeps no tokens for a budget,
   even if its demand was high: the caller has moved to another
   instance, which lacks the tokens kept here, and they are lost if this
   instance dies. */
#define IDLE_BUDGET_S 1.0
/* Shortest time between two requests for tokens in advance, as a part of the
   time that an account covers. With 0.5, an instance that received all requests
   of a customer ran out of tokens once per second. */
#define PREFETCH_INTERVAL_SHARE 0.125

/* == accounts == */

static int64_t free_tokens(const Account *a) {
  return a->granted - a->returned - a->spent - a->reserved;
}

static bool counts_are_acked(const Account *a) {
  return a->acked_returned >= a->returned && a->acked_spent >= a->spent;
}

/* Reports the account's counts to its home, if the view has it, and to the
   instance that receives reports on grants of this region, if that is another
   one. */
static void send_report(Ledger *l, const HolderBudget *b, Account *a) {
  LedgerMsg m = ledger_make_msg(LEDGER_REPORT, b->name, a->grant);
  m.returned = a->returned;
  m.spent = a->spent;
  m.final = a->closing && a->reserved == 0 && free_tokens(a) <= 0;
  a->reported_at = l->now;
  if (view_find(l->view, a->home)) ledger_send(l, a->home, &m);
  const char *recipient = ledger_report_recipient(l, b->shard);
  if (strcmp(recipient, a->home) != 0) ledger_send(l, recipient, &m);
}

/* Returns `n` free tokens to the home; they can't be spent here any more. */
static void return_tokens(Ledger *l, const HolderBudget *b, Account *a,
                          int64_t n) {
  if (n <= 0) return;
  assert(n <= free_tokens(a));
  a->returned += n;
  send_report(l, b, a);
}

static Account *find_account(const HolderBudget *b, uint64_t grant) {
  for (guint i = 0; i < b->accounts->len; i++) {
    Account *a = b->accounts->pdata[i];
    if (a->grant == grant) return a;
  }
  return NULL;
}

/* A home's newest account; its accounts of older grants are superseded. */
static Account *newest_account_of_home(const HolderBudget *b,
                                       const char *home) {
  for (guint i = b->accounts->len; i-- > 0;) {
    Account *a = b->accounts->pdata[i];
    if (strcmp(a->home, home) == 0) return a;
  }
  return NULL;
}

static Account *account_with_most_free(const HolderBudget *b) {
  Account *best = NULL;
  for (guint i = 0; i < b->accounts->len; i++) {
    Account *a = b->accounts->pdata[i];
    if (a->closing) continue;
    if (!best || free_tokens(a) > free_tokens(best)) best = a;
  }
  return best;
}

/* == budgets == */

static HolderBudget *find_budget(Ledger *l, const char *budget) {
  return g_hash_table_lookup(l->holder_budgets, budget);
}

static HolderBudget *ensure_budget(Ledger *l, const char *budget) {
  HolderBudget *b = find_budget(l, budget);
  if (b) return b;
  b = g_new0(HolderBudget, 1);
  b->ticked_at = l->now;
  g_strlcpy(b->name, budget, sizeof b->name);
  b->shard = shard_index(budget);
  b->accounts = g_ptr_array_new_with_free_func(g_free);
  g_queue_init(&b->waiters);
  g_hash_table_insert(l->holder_budgets, b->name, b);
  return b;
}

void holder_budget_free(gpointer v) {
  HolderBudget *b = v;
  g_ptr_array_free(b->accounts, TRUE);
  g_queue_clear_full(&b->waiters, g_free);
  g_free(b);
}

/* Returns the tokens per second that requests use here. For managed services
   the demand of the last seconds counts too: the average over ten seconds of
   what was settled has hardly risen when a customer's requests move to this
   instance, and each one then waited for a home's answer. */
static double demand_per_s(const Ledger *l, const HolderBudget *b) {
  return MAX(b->demand_per_s, priority_holder_demand_per_s(l, b));
}

/* Returns how many free tokens an account should keep beyond those for the
   waiting requests. For a budget that is seldom used here it is 0: other
   instances would lack these tokens near the end of the budget, and they are
   lost if this instance dies. When each of 295 instances kept tokens for 40
   customers, a power failure of all instances lost all of these tokens. */
static int64_t tokens_to_keep(const Ledger *l, const HolderBudget *b) {
  int64_t cover_tokens = (int64_t)(demand_per_s(l, b) * l->account_cover_s);
  if (demand_per_s(l, b) < 1 || cover_tokens < b->typical_tokens) return 0;
  if (l->now - b->reserve_called_at >= IDLE_BUDGET_S) return 0;
  return b->typical_tokens + cover_tokens;
}

/* == reservations == */

static bool reserve_from_account(Ledger *l, HolderBudget *b, uint64_t handle,
                                 int64_t amount) {
  Account *a = account_with_most_free(b);
  if (!a || free_tokens(a) < amount) return false;
  a->reserved += amount;
  Reservation *r = g_new0(Reservation, 1);
  *r = (Reservation){.budget = b, .account = a, .amount = amount};
  g_hash_table_insert(l->reservations, g_memdup2(&handle, sizeof handle), r);
  b->typical_tokens = amount;
  b->needs_tick = true;
  ledger_add_answer(l, handle, ERR_NONE, 0);
  return true;
}

static void drop_waiter(Ledger *l, HolderBudget *b, GList *link) {
  Waiter *w = link->data;
  g_hash_table_remove(l->waiting, &w->handle);
  g_queue_delete_link(&b->waiters, link);
  g_free(w);
}

static int retry_after_ms(const Ledger *l, const HolderBudget *b,
                          const Waiter *w, ErrKind cause) {
  if (cause == ERR_BUDGET_EMPTY) return 0;
  if (cause != ERR_BUDGET_STORE) return RETRY_AFTER_MS;
  if (w->priority < 0) return RETRY_AFTER_OUTAGE_MS;
  int left_ms = priority_retry_ms(l, b);
  /* Without an outage only the homes that were asked are cut off. */
  return left_ms > 0 ? left_ms : RETRY_AFTER_MS;
}

static void refuse_waiter(Ledger *l, HolderBudget *b, GList *link,
                          ErrKind cause) {
  const Waiter *w = link->data;
  ledger_add_answer(l, w->handle, cause, retry_after_ms(l, b, w, cause));
  drop_waiter(l, b, link);
}

/* Refuses the first waiter. For managed services refuses those that need as
   much as the request for which the last DRAW was sent and are not more urgent:
   the first may be another one by now, and asking for one after the other takes
   them a round trip each. */
static void refuse_after_denial(Ledger *l, HolderBudget *b, ErrKind cause) {
  const Waiter *head = b->waiters.head->data;
  if (head->priority < 0) {
    refuse_waiter(l, b, b->waiters.head, cause);
    return;
  }
  for (GList *i = b->waiters.head, *next; i; i = next) {
    next = i->next;
    const Waiter *w = i->data;
    if (w->priority >= b->drawn_priority && w->amount >= b->drawn_amount)
      refuse_waiter(l, b, i, cause);
  }
}

/* Serves every waiter whose amount is free in an account. A large request at
   the head doesn't block small ones behind it; its own wait ends at its
   deadline. */
static void serve_waiters(Ledger *l, HolderBudget *b) {
  for (GList *i = b->waiters.head, *next; i; i = next) {
    next = i->next;
    const Waiter *w = i->data;
    if (reserve_from_account(l, b, w->handle, w->amount)) drop_waiter(l, b, i);
  }
}

/* Queues a waiter; one of a managed service goes before less urgent ones. */
static void add_waiter(Ledger *l, HolderBudget *b, Waiter *w) {
  GList *after = b->waiters.tail;
  while (after && ((Waiter *)after->data)->priority > w->priority &&
         w->priority >= 0)
    after = after->prev;
  g_queue_insert_after(&b->waiters, after, w);
  g_hash_table_insert(l->waiting, g_memdup2(&w->handle, sizeof w->handle), b);
}

/* Sends a DRAW, which requests tokens, to a home. After two DRAWs without an
   answer the next one goes to the next choice, as every instance can act as a
   home. */
static void send_draw(Ledger *l, HolderBudget *b) {
  if (b->draw_sent_at == 0 &&
      l->now - b->first_choice_at > FIRST_CHOICE_RETRY_S)
    b->draw_tries = 0;
  if (b->draw_tries == 0) b->first_choice_at = l->now;
  const Member *home = ledger_home(l, b->shard, b->draw_tries / 2);
  if (!home) {
    b->draw_tries = 0;
    home = ledger_home(l, b->shard, 0);
  }
  b->draw_sent_at = l->now;
  b->draw_tries++;
  if (!home || l->draining) return;
  Account *a = newest_account_of_home(b, home->id);
  if (a && a->superseded) a = NULL;
  if (a) a->closing = false; /* in use again */
  int64_t have = a ? free_tokens(a) : 0;
  int64_t sum = 0;
  for (GList *i = b->waiters.head; i; i = i->next)
    sum += ((Waiter *)i->data)->amount;
  const Waiter *head = b->waiters.head ? b->waiters.head->data : NULL;
  LedgerMsg m = ledger_make_msg(LEDGER_DRAW, b->name, a ? a->grant : 0);
  b->drawn_priority = head ? head->priority : 0;
  b->drawn_amount = head ? head->amount : INT64_MAX;
  m.need = head ? head->amount - have : 0;
  if (m.need < 0) m.need = 0;
  m.want = sum + tokens_to_keep(l, b) - have;
  if (m.want < m.need) m.want = m.need;
  if (a) {
    m.granted = a->granted;
    m.returned = a->returned;
    m.spent = a->spent;
  }
  priority_send_demand(l, b, home->id);
  ledger_send(l, home->id, &m);
}

/* Returns the time in seconds after which send_draw follows an unanswered DRAW.
   It is longer for a home that has answered recently, which is busy, not gone:
   a second home would only compete with it for the store. */
static double draw_resend_s(const Ledger *l, const HolderBudget *b) {
  bool answered_recently =
      b->draw_answered_at > 0 && l->now - b->draw_answered_at < RECENT_ANSWER_S;
  return answered_recently ? LEDGER_RESEND_S : LEDGER_REDRAW_S;
}

static void reject_by_cutoff(Ledger *l, uint64_t handle, int retry_ms) {
  LedgerAction *a = ledger_add_action(l, LEDGER_ACTION_ANSWER);
  a->handle = handle;
  a->cause = ERR_BUDGET_STORE;
  a->retry_ms = retry_ms;
  a->by_cutoff = true;
}

void holder_apply_cutoff(Ledger *l, HolderBudget *b) {
  int retry_ms;
  for (GList *i = b->waiters.head, *next; i; i = next) {
    next = i->next;
    const Waiter *w = i->data;
    if (!priority_is_rejected(l, b, w->priority, &retry_ms)) continue;
    reject_by_cutoff(l, w->handle, retry_ms);
    drop_waiter(l, b, i);
  }
}

void holder_reserve(Ledger *l, uint64_t handle, const char *budget,
                    int64_t amount, int priority) {
  assert(amount >= 0);
  if (l->draining) {
    ledger_add_answer(l, handle, ERR_DRAINING, 1000);
    return;
  }
  if (!g_hash_table_contains(l->rows, budget)) {
    ledger_add_answer(l, handle, ERR_NO_BUDGET, 0);
    return;
  }
  HolderBudget *b = ensure_budget(l, budget);
  b->reserve_called_at = l->now;
  priority_note_request(l, b, priority, amount);
  int retry_ms;
  if (priority_is_rejected(l, b, priority, &retry_ms)) {
    reject_by_cutoff(l, handle, retry_ms);
    return;
  }
  if (reserve_from_account(l, b, handle, amount)) return;
  Waiter *w = g_new0(Waiter, 1);
  *w = (Waiter){handle, amount, l->now + LEDGER_DRAW_WAIT_S, ERR_BUDGET_CUT,
                priority};
  add_waiter(l, b, w);
  if (b->draw_sent_at == 0 || l->now - b->draw_sent_at >= draw_resend_s(l, b))
    send_draw(l, b);
}

static GList *find_waiter_link(HolderBudget *b, uint64_t handle) {
  for (GList *i = b->waiters.head; i; i = i->next)
    if (((Waiter *)i->data)->handle == handle) return i;
  return NULL;
}

ErrKind holder_wait_cause(const Ledger *l, uint64_t handle, int *retry_ms) {
  HolderBudget *b = g_hash_table_lookup(l->waiting, &handle);
  *retry_ms = RETRY_AFTER_MS;
  if (!b) return ERR_BUDGET_CUT;
  const Waiter *w = find_waiter_link(b, handle)->data;
  /* No home has decided: it is not known that others hold what is left. */
  ErrKind cause = w->cause == ERR_BUDGET_HELD ? ERR_BUDGET_CUT : w->cause;
  if (priority_store_is_away(l, b)) cause = ERR_BUDGET_STORE;
  *retry_ms = retry_after_ms(l, b, w, cause);
  return cause;
}

void holder_settle(Ledger *l, uint64_t handle, int64_t used) {
  assert(used >= 0);
  HolderBudget *waiting_budget = g_hash_table_lookup(l->waiting, &handle);
  if (waiting_budget) {
    drop_waiter(l, waiting_budget, find_waiter_link(waiting_budget, handle));
    return;
  }
  Reservation *r = g_hash_table_lookup(l->reservations, &handle);
  if (!r) return; /* already settled */
  Account *a = r->account;
  HolderBudget *b = r->budget;
  a->reserved -= r->amount;
  a->spent += used;
  priority_note_settled(b, r->amount, used);
  if (l->faults.settle_twice) a->reserved -= r->amount;
  b->demand_per_s += (double)used / DEMAND_AVERAGE_S;
  if (!l->faults.settle_twice) g_hash_table_remove(l->reservations, &handle);
  if (a->closing) return_tokens(l, b, a, free_tokens(a));
  serve_waiters(l, b);
}

/* == messages from homes == */

/* Makes the next DRAW go to the choice after `from`, a home that can't reach
   the store; another instance may reach it, unless the store is down for all.
   Returns false when there is no further choice. */
static bool skip_to_next_home(const Ledger *l, HolderBudget *b,
                              const char *from) {
  int choices = priority_store_is_away(l, b)
                    ? 1
                    : MIN(l->region_members, MAX_HOME_CHOICES);
  for (int rank = 0; rank + 1 < choices; rank++) {
    const Member *m = ledger_home(l, b->shard, rank);
    if (!m || strcmp(m->id, from) != 0) continue;
    b->draw_tries = 2 * (rank + 1);
    return true;
  }
  return false;
}

/* The same for managed services: all homes are taken for being without the
   store only when each was asked, from the first choice on, within a second.
   The next DRAW then goes to the first choice, which has the tokens that are
   left. */
static bool find_home_after_denial(const Ledger *l, HolderBudget *b,
                                   const char *from) {
  const Member *first = ledger_home(l, b->shard, 0);
  if (first && strcmp(first->id, from) == 0) b->first_away_at = l->now;
  const Waiter *head = b->waiters.head ? b->waiters.head->data : NULL;
  bool is_other = head && (head->priority < b->drawn_priority ||
                           head->amount < b->drawn_amount);
  if (is_other &&
      !priority_store_is_away(l, b)) { /* no home was asked for it */
    b->draw_tries = 0;
    return true;
  }
  if (skip_to_next_home(l, b, from)) return true;
  b->draw_tries = 0;
  if (priority_store_is_away(l, b)) return false;
  if (b->first_away_at == 0 || l->now - b->first_away_at >= RECENT_ANSWER_S)
    return true;
  b->all_away_at = l->now;
  return false;
}

/* Sets the cause with which the waiters are refused at their deadline. A home
   answers for the first waiter, of `amount` tokens, but the answer shows that
   the home was reached, so its cause applies to all. The exception is
   ERR_BUDGET_EMPTY: that `amount` can never be covered does not hold for fewer
   tokens. */
static void set_waiter_causes(HolderBudget *b, ErrKind cause, int64_t amount) {
  if (cause == ERR_NONE) cause = ERR_BUDGET_HELD;
  for (GList *i = b->waiters.head; i; i = i->next) {
    Waiter *w = i->data;
    bool is_smaller = cause == ERR_BUDGET_EMPTY && w->amount < amount;
    w->cause = is_smaller ? ERR_BUDGET_HELD : cause;
  }
}

void holder_on_allot(Ledger *l, const char *from, const LedgerMsg *m) {
  HolderBudget *b = find_budget(l, m->budget);
  if (!b) b = ensure_budget(l, m->budget);
  if (g_hash_table_contains(l->closed_grants, &m->grant)) return;
  Account *a = find_account(b, m->grant);
  if (!a && m->granted > 0) {
    for (guint i = 0; i < b->accounts->len; i++) {
      Account *older = b->accounts->pdata[i];
      if (strcmp(older->home, from) == 0)
        older->superseded = older->closing = true;
    }
    a = g_new0(Account, 1);
    a->grant = m->grant;
    g_strlcpy(a->home, from, sizeof a->home);
    g_ptr_array_add(b->accounts, a);
  }
  if (a && m->granted > a->granted) {
    a->granted = m->granted;
    a->superseded = false;
  }
  if (a) a->allotted_at = l->now;
  b->draw_sent_at = 0;
  b->draw_answered_at = l->now;
  /* The next DRAW goes first to the home that answered. */
  if (b->draw_tries > 0) b->draw_tries = (b->draw_tries - 1) / 2 * 2;
  serve_waiters(l, b);
  GList *head = b->waiters.head;
  if (head) set_waiter_causes(b, m->cause, ((Waiter *)head->data)->amount);
  bool is_managed = priority_is_managed_here(l, b);
  if (m->cause == ERR_BUDGET_STORE && is_managed) {
    if (find_home_after_denial(l, b, from)) {
      if (head) send_draw(l, b);
      return;
    }
  } else if (head && m->cause == ERR_BUDGET_STORE &&
             skip_to_next_home(l, b, from)) {
    send_draw(l, b);
    return;
  }
  if (m->cause != ERR_NONE && head) refuse_after_denial(l, b, m->cause);
  if (b->waiters.head) send_draw(l, b);
}

static void close_account(Ledger *l, HolderBudget *b, Account *a) {
  g_hash_table_add(l->closed_grants, g_memdup2(&a->grant, sizeof a->grant));
  g_ptr_array_remove(b->accounts, a);
}

void holder_on_report_ack(Ledger *l, const LedgerMsg *m) {
  HolderBudget *b = find_budget(l, m->budget);
  Account *a = b ? find_account(b, m->grant) : NULL;
  if (!a) return;
  if (m->returned > a->acked_returned) a->acked_returned = m->returned;
  if (m->spent > a->acked_spent) a->acked_spent = m->spent;
  bool is_done = a->closing && a->reserved == 0 && free_tokens(a) <= 0 &&
                 counts_are_acked(a);
  if (m->final && is_done) close_account(l, b, a);
}

void holder_on_return(Ledger *l, const LedgerMsg *m) {
  HolderBudget *b = find_budget(l, m->budget);
  Account *a = b ? find_account(b, m->grant) : NULL;
  if (!a) return;
  int64_t n = free_tokens(a);
  if (n > 0)
    return_tokens(l, b, a, n);
  else
    send_report(l, b, a);
}

/* == time == */

static bool home_is_active(const Ledger *l, const Account *a) {
  return l->now - a->allotted_at < ACTIVE_HOME_S && view_find(l->view, a->home);
}

static void tick_accounts(Ledger *l, HolderBudget *b) {
  const Member *home = ledger_home(l, b->shard, 0);
  b->needs_tick = l->draining;
  for (guint i = 0; i < b->accounts->len; i++) {
    Account *a = b->accounts->pdata[i];
    bool is_current = !home || strcmp(home->id, a->home) == 0;
    /* While the view has no home for the shard, the accounts stay in use. */
    a->closing =
        l->draining || a->superseded || (!is_current && !home_is_active(l, a));
    b->needs_tick |= a->closing;
    if (a->closing) return_tokens(l, b, a, free_tokens(a));
    int64_t keep = tokens_to_keep(l, b);
    int64_t max_free =
        keep ? b->typical_tokens + (int64_t)(demand_per_s(l, b) * LEDGER_IDLE_S)
             : 0;
    /* For a budget that is seldom used, one report covers both the spent and
       the returned tokens. */
    bool will_report_soon = b->demand_per_s < 1 && a->reserved > 0;
    if (!a->closing && !will_report_soon && b->waiters.length == 0 &&
        free_tokens(a) > max_free)
      return_tokens(l, b, a, free_tokens(a) - keep);
    bool pending = !counts_are_acked(a) || a->closing;
    double wait = a->closing ? LEDGER_RESEND_S : LEDGER_REPORT_INTERVAL_S;
    if (pending && l->now - a->reported_at >= wait) send_report(l, b, a);
  }
}

static void tick_waiters(Ledger *l, HolderBudget *b) {
  for (GList *i = b->waiters.head, *next; i; i = next) {
    next = i->next;
    const Waiter *w = i->data;
    if (l->draining)
      refuse_waiter(l, b, i, ERR_DRAINING);
    else if (l->now >= w->deadline)
      refuse_waiter(l, b, i, w->cause);
  }
  double elapsed = l->now - b->draw_sent_at;
  if (b->waiters.head) {
    if (b->draw_sent_at == 0 || elapsed >= draw_resend_s(l, b)) send_draw(l, b);
    return;
  }
  /* Requests tokens in advance, so that a reservation need not wait for an
     ALLOT. */
  const Account *a = account_with_most_free(b);
  int64_t min_free = (int64_t)(demand_per_s(l, b) * l->account_cover_s / 2);
  if (l->draining || !tokens_to_keep(l, b) || (a && free_tokens(a) >= min_free))
    return;
  if (l->now - b->prefetched_at < l->account_cover_s * PREFETCH_INTERVAL_SHARE)
    return;
  b->prefetched_at = l->now;
  send_draw(l, b);
}

void holder_tick(Ledger *l) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->holder_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    HolderBudget *b = v;
    bool is_idle = !b->needs_tick && !b->waiters.head && !l->draining;
    if (is_idle && l->now - b->ticked_at < LEDGER_IDLE_CHECK_S) continue;
    b->demand_per_s *= exp(-(l->now - b->ticked_at) / DEMAND_AVERAGE_S);
    b->ticked_at = l->now;
    tick_accounts(l, b);
    tick_waiters(l, b);
    priority_tick_holder(l, b);
    bool is_unused =
        b->accounts->len == 0 && !b->waiters.head && b->demand_per_s < 1;
    if (is_unused) g_hash_table_iter_remove(&it);
  }
}

/* All tokens were returned or spent, and a home has acknowledged it. */
static bool is_released(const Account *a) {
  return free_tokens(a) <= 0 && a->reserved == 0 && counts_are_acked(a);
}

bool holder_has_released(Ledger *l, const char *budget, uint64_t grant) {
  const HolderBudget *b = find_budget(l, budget);
  const Account *a = b ? find_account(b, grant) : NULL;
  return !a || is_released(a);
}

bool holder_is_empty(const Ledger *l) {
  if (g_hash_table_size(l->reservations) > 0) return false;
  if (g_hash_table_size(l->waiting) > 0) return false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->holder_budgets);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const HolderBudget *b = v;
    for (guint i = 0; i < b->accounts->len; i++)
      if (!is_released(b->accounts->pdata[i])) return false;
  }
  return true;
}
