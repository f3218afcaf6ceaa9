/* view.c: look-ups in a view. */
#include "member/view.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static int compare_ids(const void *a, const void *b) {
  return strcmp(((const Member *)a)->id, ((const Member *)b)->id);
}

View *view_new(const Member *list, int n) {
  View *v = g_malloc0(sizeof *v + (size_t)n * sizeof *list);
  v->n = n;
  if (n == 0) return v;
  memcpy(v->list, list, (size_t)n * sizeof *list);
  qsort(v->list, (size_t)n, sizeof *list, compare_ids);
  return v;
}

View *view_copy(const View *v) {
  return view_new(v->list, v->n);
}

void view_free(View *v) {
  g_free(v);
}

bool view_same_members(const View *a, const View *b) {
  if (a->n != b->n) return false;
  for (int i = 0; i < a->n; i++) {
    const Member *x = &a->list[i], *y = &b->list[i];
    if (strcmp(x->id, y->id) != 0 || x->leaving != y->leaving) return false;
  }
  return true;
}

static int compare_id_to_member(const void *id, const void *m) {
  return strcmp(id, ((const Member *)m)->id);
}

const Member *view_find(const View *v, const char *id) {
  return bsearch(id, v->list, (size_t)v->n, sizeof *v->list,
                 compare_id_to_member);
}

static bool is_eligible(const Member *m, const char *region) {
  return !m->leaving && (!region || strcmp(m->region, region) == 0);
}

static uint64_t rendezvous_score(const Member *m, uint64_t key) {
  return XXH64(m->id, strlen(m->id), key);
}

const Member *view_home(const View *v, const char *region, uint64_t key,
                        int rank) {
  uint64_t above = UINT64_MAX;
  const Member *best = NULL;
  for (int r = 0; r <= rank; r++) {
    uint64_t top = 0;
    best = NULL;
    for (int i = 0; i < v->n; i++) {
      if (!is_eligible(&v->list[i], region)) continue;
      uint64_t s = rendezvous_score(&v->list[i], key);
      if (s >= above || (best && s <= top)) continue;
      best = &v->list[i];
      top = s;
    }
    if (!best) return NULL;
    above = top;
  }
  return best;
}

int view_homes(const View *v, const char *region, uint64_t key,
               const Member **out, int max) {
  uint64_t top[VIEW_MAX_HOMES];
  int n = 0;
  assert(max <= VIEW_MAX_HOMES);
  for (int i = 0; i < v->n; i++) {
    const Member *m = &v->list[i];
    if (!is_eligible(m, region)) continue;
    uint64_t s = rendezvous_score(m, key);
    if (n == max && s <= top[n - 1]) continue;
    int at = n < max ? n++ : n - 1;
    for (; at > 0 && top[at - 1] < s; at--) {
      top[at] = top[at - 1];
      out[at] = out[at - 1];
    }
    top[at] = s;
    out[at] = m;
  }
  return n;
}

int view_count_regions(const View *v) {
  int count = 0;
  for (int i = 0; i < v->n; i++) {
    int j = 0;
    while (j < i && strcmp(v->list[i].region, v->list[j].region) != 0) j++;
    if (j == i) count++;
  }
  return count;
}

int view_count_members(const View *v, const char *region) {
  int count = 0;
  for (int i = 0; i < v->n; i++)
    if (is_eligible(&v->list[i], region)) count++;
  return count;
}
