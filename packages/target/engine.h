/* engine.h: calls to an inference engine, the software that a target runs. The
   paths of its API and the names of its headers and fields are known only to
   engine.c; to support another engine, replace that file.

   A run is the processing of one request by the engine. It continues when the
   connection breaks, until it is resumed or cancelled. */
#ifndef TARGET_ENGINE_H
#define TARGET_ENGINE_H

#include <jansson.h>
#include <stdint.h>

#include "http/client.h"
#include "place/place.h"

/* Numbers of requests at the engine. */
typedef struct EngineLoad {
  int running, waiting;
} EngineLoad;

typedef struct EngineCall {
  const char *id;   /* request id, by which the run is resumed or cancelled */
  int priority;     /* 0 is served first */
  const char *body; /* JSON, `len` bytes */
  size_t len;
} EngineCall;

/* Starts a completion on a new connection; the request is never sent twice. */
HttpStream *engine_start(HttpClient *c, const EngineCall *call,
                         HttpResponse *a);
/* Resumes the stream of a run whose connection broke, after its first
   `n_events` events, which were received before. The status is 404 when the
   engine no longer has the run. */
HttpStream *engine_resume(HttpClient *c, const char *id, int n_events,
                          HttpResponse *a);
/* Stops a run. Returns the prompt and output tokens that it used, or -1 when
   the engine does not report them. */
int64_t engine_cancel(const char *url, const char *id);
/* Gets the engine's load. Returns false if there was no valid answer. In either
   case `round_trip_s` is set to the duration of the call. */
bool engine_get_load(const char *url, EngineLoad *load, double *round_trip_s);
/* Orders the engine to load exactly the adapters in `list`, separated by ';'.
   `fence` is the version of the plan (place.h); the engine rejects an order
   with a lower one than it has received. */
PlaceOrderResult engine_set_adapters(const char *url, uint64_t fence,
                                     const char *list);
/* Returns the total tokens that the answer's usage object states; -1: the
   answer has none. */
int64_t engine_usage_tokens(json_t *answer);
/* Sets the maximum number of output tokens. If the answer is to be a stream,
   also requests a usage object at its end. */
void engine_limit_output(json_t *request, int64_t max_output);
/* Sets the model field to `adapter`, or to `model` when `adapter` is empty. */
void engine_set_model(json_t *request, const char *model, const char *adapter);
/* Returns the maximum number of output tokens that the request states; 0: it
   states none. */
int64_t engine_requested_max_tokens(json_t *request);

#endif
