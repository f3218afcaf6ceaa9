/* holder.c: reservations and settlements against this instance's accounts. */
#include "ledger/state.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define RATE_TAU 10.0 /* seconds over which demand is averaged */
/* An account elsewhere than at the first choice lives on while its home
   speaks. */
#define LINGER 5.0
#define HOME_SPOKE 1.0 /* seconds; a home that answered since is there */
#define CHOICES 4      /* homes that are asked one after the other */
#define BACK_MS 1000   /* Retry-After while tokens are on their way back */
#define BACK_AWAY_MS                                                           \
  5000                  /* while the store is away: 4 to 9 s on the users'     \
                           days */
#define FIRST_AGAIN 3.0 /* the first choice is tried again after this */
/* Seconds without a request after which nothing is laid out for a customer that
   had many: its caller has gone to another instance, and what lies here is
   missing there and lost with us. */
#define DESERTED 1.0
/* Tokens are asked for ahead again after this part of what an account covers:
   once in half of it, an instance with all requests of a customer ran dry each
   second. */
#define AHEAD_SHARE 0.125

/* == accounts == */

static int64_t free_of(const Account *a) {
  return a->granted - a->returned - a->spent - a->reserved;
}

static bool told(const Account *a) {
  return a->told_returned >= a->returned && a->told_spent >= a->spent;
}

static void report(Ledger *l, const Purse *p, Account *a) {
  LedgerMsg m = ledger_msg(LEDGER_REPORT, p->name, a->grant);
  m.returned = a->returned;
  m.spent = a->spent;
  m.final = a->closing && a->reserved == 0 && free_of(a) <= 0;
  a->reported = l->now;
  if (view_find(l->view, a->home)) ledger_send(l, a->home, &m);
  const char *taker = ledger_caretaker(l, p->shard);
  if (strcmp(taker, a->home) != 0) ledger_send(l, taker, &m);
}

/* Gives back `n` free tokens; from here on they are not ours. */
static void give_back(Ledger *l, const Purse *p, Account *a, int64_t n) {
  if (n <= 0) return;
  assert(n <= free_of(a));
  a->returned += n;
  report(l, p, a);
}

static Account *account(const Purse *p, uint64_t grant) {
  for (guint i = 0; i < p->accounts->len; i++) {
    Account *a = p->accounts->pdata[i];
    if (a->grant == grant) return a;
  }
  return NULL;
}

/* The newest account of a home: an older grant of it is over. */
static Account *account_at(const Purse *p, const char *home) {
  for (guint i = p->accounts->len; i-- > 0;) {
    Account *a = p->accounts->pdata[i];
    if (strcmp(a->home, home) == 0) return a;
  }
  return NULL;
}

static Account *richest(const Purse *p) {
  Account *best = NULL;
  for (guint i = 0; i < p->accounts->len; i++) {
    Account *a = p->accounts->pdata[i];
    if (a->closing) continue;
    if (!best || free_of(a) > free_of(best)) best = a;
  }
  return best;
}

/* == purses == */

static Purse *find_purse(Ledger *l, const char *budget) {
  return g_hash_table_lookup(l->purses, budget);
}

static Purse *add_purse(Ledger *l, const char *budget) {
  Purse *p = find_purse(l, budget);
  if (p) return p;
  p = g_new0(Purse, 1);
  p->looked = l->now;
  g_strlcpy(p->name, budget, sizeof p->name);
  p->shard = shard_index(budget);
  p->accounts = g_ptr_array_new_with_free_func(g_free);
  g_queue_init(&p->waiters);
  g_hash_table_insert(l->purses, p->name, p);
  return p;
}

void holder_purse_free(gpointer v) {
  Purse *p = v;
  g_ptr_array_free(p->accounts, TRUE);
  g_queue_clear_full(&p->waiters, g_free);
  g_free(p);
}

/* What an account is to have beyond the requests that wait. A budget that is
   seldom asked for here has nothing laid out: it would be missing elsewhere at
   its end, and be lost with the instance. Laid out at each of 295
   instances for 40 customers it was lost with a loss of power of all. */
static int64_t laid_out(const Ledger *l, const Purse *p) {
  int64_t flow = (int64_t)(p->rate * l->account_s);
  if (p->rate < 1 || flow < p->typical) return 0;
  if (l->now - p->reserved >= DESERTED) return 0;
  return p->typical + flow;
}

/* == reservations == */

static bool take(Ledger *l, Purse *p, uint64_t handle, int64_t amount) {
  Account *a = richest(p);
  if (!a || free_of(a) < amount) return false;
  a->reserved += amount;
  Reservation *r = g_new0(Reservation, 1);
  *r = (Reservation){.purse = p, .account = a, .amount = amount};
  g_hash_table_insert(l->reservations, g_memdup2(&handle, sizeof handle), r);
  p->typical = amount;
  p->hot = true;
  ledger_answer(l, handle, ERR_NONE, 0);
  return true;
}

static void drop_waiter(Ledger *l, Purse *p, GList *link) {
  Waiter *w = link->data;
  g_hash_table_remove(l->waiting, &w->handle);
  g_queue_delete_link(&p->waiters, link);
  g_free(w);
}

static void refuse(Ledger *l, Purse *p, GList *link, ErrKind cause) {
  const Waiter *w = link->data;
  bool away = cause == ERR_BUDGET_STORE;
  int retry_ms = cause == ERR_BUDGET_EMPTY ? 0 : away ? BACK_AWAY_MS : BACK_MS;
  ledger_answer(l, w->handle, cause, retry_ms);
  drop_waiter(l, p, link);
}

/* Whoever fits is served; a large request at the head does not hold up small
   ones, its own wait is bounded anyway. */
static void serve(Ledger *l, Purse *p) {
  for (GList *i = p->waiters.head, *next; i; i = next) {
    next = i->next;
    const Waiter *w = i->data;
    if (take(l, p, w->handle, w->amount)) drop_waiter(l, p, i);
  }
}

/* Asks a home for tokens. After two tries without an answer the next choice is
   asked, which acts as a home just as well. */
static void ask(Ledger *l, Purse *p) {
  if (p->asked == 0 && l->now - p->first_choice > FIRST_AGAIN) p->tries = 0;
  if (p->tries == 0) p->first_choice = l->now;
  const Member *home = ledger_home(l, p->shard, p->tries / 2);
  if (!home) {
    p->tries = 0;
    home = ledger_home(l, p->shard, 0);
  }
  p->asked = l->now;
  p->tries++;
  if (!home || l->draining) return;
  Account *a = account_at(p, home->id);
  if (a && a->over) a = NULL;
  if (a) a->closing = false; /* its home is asked again: it is in use again */
  int64_t have = a ? free_of(a) : 0;
  int64_t sum = 0;
  for (GList *i = p->waiters.head; i; i = i->next)
    sum += ((Waiter *)i->data)->amount;
  const Waiter *head = p->waiters.head ? p->waiters.head->data : NULL;
  LedgerMsg m = ledger_msg(LEDGER_DRAW, p->name, a ? a->grant : 0);
  m.need = head ? head->amount - have : 0;
  if (m.need < 0) m.need = 0;
  m.want = sum + laid_out(l, p) - have;
  if (m.want < m.need) m.want = m.need;
  if (a) {
    m.granted = a->granted;
    m.returned = a->returned;
    m.spent = a->spent;
  }
  ledger_send(l, home->id, &m);
}

/* Seconds until an unanswered draw goes out again, and after two to the next
   choice. A home that spoke just now is busy, not gone: others that step in
   for it would only race it for the store. */
static double patience(const Ledger *l, const Purse *p) {
  bool spoke = p->answered > 0 && l->now - p->answered < HOME_SPOKE;
  return spoke ? LEDGER_RESEND_S : LEDGER_REDRAW_S;
}

void holder_reserve(Ledger *l, uint64_t handle, const char *budget,
                    int64_t amount) {
  assert(amount >= 0);
  if (l->draining) {
    ledger_answer(l, handle, ERR_DRAINING, 1000);
    return;
  }
  if (!g_hash_table_contains(l->rows, budget)) {
    ledger_answer(l, handle, ERR_NO_BUDGET, 0);
    return;
  }
  Purse *p = add_purse(l, budget);
  p->reserved = l->now;
  if (take(l, p, handle, amount)) return;
  Waiter *w = g_new0(Waiter, 1);
  *w = (Waiter){handle, amount, l->now + LEDGER_DRAW_WAIT_S, ERR_BUDGET_CUT};
  g_queue_push_tail(&p->waiters, w);
  g_hash_table_insert(l->waiting, g_memdup2(&handle, sizeof handle), p);
  if (p->asked == 0 || l->now - p->asked >= patience(l, p)) ask(l, p);
}

static GList *waiter_link(Purse *p, uint64_t handle) {
  for (GList *i = p->waiters.head; i; i = i->next)
    if (((Waiter *)i->data)->handle == handle) return i;
  return NULL;
}

void holder_settle(Ledger *l, uint64_t handle, int64_t used) {
  assert(used >= 0);
  Purse *queued = g_hash_table_lookup(l->waiting, &handle);
  if (queued) {
    drop_waiter(l, queued, waiter_link(queued, handle));
    return;
  }
  Reservation *r = g_hash_table_lookup(l->reservations, &handle);
  if (!r) return; /* settled before: each request is settled once */
  Account *a = r->account;
  Purse *p = r->purse;
  a->reserved -= r->amount;
  a->spent += used;
  if (l->faults.settle_twice) a->reserved -= r->amount;
  p->rate += (double)used / RATE_TAU;
  if (!l->faults.settle_twice) g_hash_table_remove(l->reservations, &handle);
  if (a->closing) give_back(l, p, a, free_of(a));
  serve(l, p);
}

/* == messages from homes == */

/* The home that answered is cut off from the store; another instance may not
   be, unless it answers nobody. True when there is one more choice to ask. */
static bool try_next(const Ledger *l, Purse *p, const char *from) {
  int choices = l->away ? 1 : MIN(l->near, CHOICES);
  for (int rank = 0; rank + 1 < choices; rank++) {
    const Member *m = ledger_home(l, p->shard, rank);
    if (!m || strcmp(m->id, from) != 0) continue;
    p->tries = 2 * (rank + 1);
    return true;
  }
  return false;
}

/* What a home says to one who waits, the others hear as well when their own
   wait ends: it was reached. That a larger request can never be covered does
   not hold for a smaller one. */
static void note_cause(Purse *p, ErrKind cause, int64_t amount) {
  if (cause == ERR_NONE) cause = ERR_BUDGET_HELD;
  for (GList *i = p->waiters.head; i; i = i->next) {
    Waiter *w = i->data;
    bool less = cause == ERR_BUDGET_EMPTY && w->amount < amount;
    w->cause = less ? ERR_BUDGET_HELD : cause;
  }
}

void holder_allot(Ledger *l, const char *from, const LedgerMsg *m) {
  Purse *p = find_purse(l, m->budget);
  if (!p) p = add_purse(l, m->budget);
  if (g_hash_table_contains(l->closed, &m->grant)) return;
  Account *a = account(p, m->grant);
  if (!a && m->granted > 0) {
    for (guint i = 0; i < p->accounts->len; i++) {
      Account *old = p->accounts->pdata[i];
      if (strcmp(old->home, from) == 0) old->over = old->closing = true;
    }
    a = g_new0(Account, 1);
    a->grant = m->grant;
    g_strlcpy(a->home, from, sizeof a->home);
    g_ptr_array_add(p->accounts, a);
  }
  if (a && m->granted > a->granted) {
    a->granted = m->granted;
    a->over = false;
  }
  if (a) a->allotted = l->now;
  p->asked = 0;
  p->answered = l->now;
  /* Whoever answered is asked first next time. */
  if (p->tries > 0) p->tries = (p->tries - 1) / 2 * 2;
  serve(l, p);
  GList *head = p->waiters.head;
  if (head) note_cause(p, m->cause, ((Waiter *)head->data)->amount);
  if (head && m->cause == ERR_BUDGET_STORE && try_next(l, p, from)) {
    ask(l, p);
    return;
  }
  if (m->cause != ERR_NONE && head) refuse(l, p, head, m->cause);
  if (p->waiters.head) ask(l, p);
}

static void forget(Ledger *l, Purse *p, Account *a) {
  g_hash_table_add(l->closed, g_memdup2(&a->grant, sizeof a->grant));
  g_ptr_array_remove(p->accounts, a);
}

void holder_reported(Ledger *l, const LedgerMsg *m) {
  Purse *p = find_purse(l, m->budget);
  Account *a = p ? account(p, m->grant) : NULL;
  if (!a) return;
  if (m->returned > a->told_returned) a->told_returned = m->returned;
  if (m->spent > a->told_spent) a->told_spent = m->spent;
  bool over = a->closing && a->reserved == 0 && free_of(a) <= 0 && told(a);
  if (m->final && over) forget(l, p, a);
}

void holder_recall(Ledger *l, const LedgerMsg *m) {
  Purse *p = find_purse(l, m->budget);
  Account *a = p ? account(p, m->grant) : NULL;
  if (!a) return;
  int64_t n = free_of(a);
  if (n > 0)
    give_back(l, p, a, n);
  else
    report(l, p, a);
}

/* == time == */

static bool speaks(const Ledger *l, const Account *a) {
  return l->now - a->allotted < LINGER && view_find(l->view, a->home);
}

static void tick_accounts(Ledger *l, Purse *p) {
  const Member *home = ledger_home(l, p->shard, 0);
  p->hot = l->draining;
  for (guint i = 0; i < p->accounts->len; i++) {
    Account *a = p->accounts->pdata[i];
    bool current = !home || strcmp(home->id, a->home) == 0;
    /* With nobody to ask, what we have stays in use. */
    a->closing = l->draining || a->over || (!current && !speaks(l, a));
    p->hot |= a->closing;
    if (a->closing) give_back(l, p, a, free_of(a));
    int64_t keep = laid_out(l, p);
    int64_t idle = keep ? p->typical + (int64_t)(p->rate * LEDGER_IDLE_S) : 0;
    /* A budget seldom asked for: one report for spent and returned together. */
    bool soon = p->rate < 1 && a->reserved > 0;
    if (!a->closing && !soon && p->waiters.length == 0 && free_of(a) > idle)
      give_back(l, p, a, free_of(a) - keep);
    bool pending = !told(a) || a->closing;
    double wait = a->closing ? LEDGER_RESEND_S : LEDGER_REPORT_INTERVAL_S;
    if (pending && l->now - a->reported >= wait) report(l, p, a);
  }
}

static void tick_waiters(Ledger *l, Purse *p) {
  for (GList *i = p->waiters.head, *next; i; i = next) {
    next = i->next;
    const Waiter *w = i->data;
    if (l->draining)
      refuse(l, p, i, ERR_DRAINING);
    else if (l->now >= w->deadline)
      refuse(l, p, i, w->cause);
  }
  double quiet = l->now - p->asked;
  if (p->waiters.head) {
    if (p->asked == 0 || quiet >= patience(l, p)) ask(l, p);
    return;
  }
  /* Ask ahead, so that a request need not wait for a message. */
  const Account *a = richest(p);
  int64_t low = (int64_t)(p->rate * l->account_s / 2);
  if (l->draining || !laid_out(l, p) || (a && free_of(a) >= low)) return;
  if (l->now - p->ahead < l->account_s * AHEAD_SHARE) return;
  p->ahead = l->now;
  ask(l, p);
}

void holder_tick(Ledger *l) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->purses);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Purse *p = v;
    bool quiet = !p->hot && !p->waiters.head && !l->draining;
    if (quiet && l->now - p->looked < LEDGER_IDLE_CHECK_S) continue;
    p->rate *= exp(-(l->now - p->looked) / RATE_TAU);
    p->looked = l->now;
    tick_accounts(l, p);
    tick_waiters(l, p);
    bool idle = p->accounts->len == 0 && !p->waiters.head && p->rate < 1;
    if (idle) g_hash_table_iter_remove(&it);
  }
}

static bool left(const Account *a) {
  return free_of(a) <= 0 && a->reserved == 0 && told(a);
}

bool holder_left(Ledger *l, const char *budget, uint64_t grant) {
  const Purse *p = find_purse(l, budget);
  const Account *a = p ? account(p, grant) : NULL;
  return !a || left(a);
}

bool holder_empty(const Ledger *l) {
  if (g_hash_table_size(l->reservations) > 0) return false;
  if (g_hash_table_size(l->waiting) > 0) return false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, l->purses);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const Purse *p = v;
    for (guint i = 0; i < p->accounts->len; i++)
      if (!left(p->accounts->pdata[i])) return false;
  }
  return true;
}
