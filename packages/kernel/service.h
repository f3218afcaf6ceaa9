/* service.h: the service registry; services find each other by name, start in
   order of dependency and stop in the reverse order. */
#ifndef KERNEL_SERVICE_H
#define KERNEL_SERVICE_H

#include <stdbool.h>

#include "kernel/err.h"

#define SERVICE_MAX 16
#define SERVICE_NEEDS 6

typedef struct Service {
  const char *name;
  const char *needs[SERVICE_NEEDS]; /* names of services, NULL-terminated */
  bool (*start)(struct Service *s, Err *e);
  /* The service accepts no new work after this; may be NULL. */
  void (*drain)(struct Service *s);
  void (*stop)(struct Service *s);
  void *state;
} Service;

typedef struct Kernel {
  Service *list[SERVICE_MAX];
  int n;
  Service *started[SERVICE_MAX]; /* in start order */
  int n_started;
} Kernel;

/* False when the name is taken or the registry is full. */
bool service_add(Kernel *k, Service *s, Err *e);
/* State of a service, NULL when no service has that name. */
void *service_find(const Kernel *k, const char *name);
/* Starts all services. On failure stops those that were started; the error
   names a missing dependency. */
bool service_start(Kernel *k, Err *e);
void service_drain(Kernel *k);
void service_stop(Kernel *k);

#endif
