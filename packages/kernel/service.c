/* service.c: service registry and start order. */
#include "kernel/service.h"

#include <string.h>

static Service *find_service(const Kernel *k, const char *name) {
  for (int i = 0; i < k->n; i++)
    if (strcmp(k->list[i]->name, name) == 0) return k->list[i];
  return NULL;
}

static bool is_started(const Kernel *k, const Service *s) {
  for (int i = 0; i < k->n_started; i++)
    if (k->started[i] == s) return true;
  return false;
}

/* `depth` detects a dependency cycle. */
static bool start_service(Kernel *k, Service *s, int depth, Err *e) {
  if (is_started(k, s)) return true;
  if (depth > k->n)
    return err_set(e, ERR_SERVICE_MISSING,
                   "cyclic dependency between services: %s", s->name);
  for (int i = 0; i < SERVICE_NEEDS && s->needs[i]; i++) {
    Service *need = find_service(k, s->needs[i]);
    if (!need)
      return err_set(e, ERR_SERVICE_MISSING,
                     "service %s needs %s, which is not registered", s->name,
                     s->needs[i]);
    if (!start_service(k, need, depth + 1, e)) return false;
  }
  if (s->start && !s->start(s, e)) return false;
  k->started[k->n_started++] = s;
  return true;
}

bool service_add(Kernel *k, Service *s, Err *e) {
  if (find_service(k, s->name))
    return err_set(e, ERR_SERVICE_MISSING, "service name taken: %s", s->name);
  if (k->n == SERVICE_MAX)
    return err_set(e, ERR_SERVICE_MISSING, "no room for service %s", s->name);
  k->list[k->n++] = s;
  return true;
}

void *service_find(const Kernel *k, const char *name) {
  Service *s = find_service(k, name);
  return s ? s->state : NULL;
}

bool service_start(Kernel *k, Err *e) {
  for (int i = 0; i < k->n; i++) {
    if (start_service(k, k->list[i], 0, e)) continue;
    service_stop(k);
    return false;
  }
  return true;
}

void service_drain(Kernel *k) {
  for (int i = k->n_started - 1; i >= 0; i--)
    if (k->started[i]->drain) k->started[i]->drain(k->started[i]);
}

void service_stop(Kernel *k) {
  while (k->n_started > 0) {
    Service *s = k->started[--k->n_started];
    if (s->stop) s->stop(s);
  }
}
