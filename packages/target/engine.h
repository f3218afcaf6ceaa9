/* engine.h: the API of an inference engine: its paths and the names of its
   headers and fields. Support for another engine is another engine.c. */
#ifndef TARGET_ENGINE_H
#define TARGET_ENGINE_H

#include <jansson.h>
#include <stdint.h>

#include "http/client.h"
#include "place/place.h"

typedef struct EngineLoad {
  int running, waiting;
} EngineLoad;

typedef struct EngineCall {
  const char *id; /* request id */
  int priority;   /* 0 is served first */
  const char *body;
  size_t len;
} EngineCall;

/* Starts a completion on a new connection; the request is never sent twice. */
HttpStream *engine_start(HttpClient *c, const EngineCall *call,
                         HttpResponse *a);
/* Resumes the stream of a run whose connection broke, after its first `seen`
   events. The status is 404 when the engine no longer has the run. */
HttpStream *engine_resume(HttpClient *c, const char *id, int seen,
                          HttpResponse *a);
/* Stops a run. Returns the tokens that it used, or -1 when unknown. */
int64_t engine_cancel(const char *url, const char *id);
/* Returns false without an answer. Sets `round_trip_s` in either case. */
bool engine_get_load(const char *url, EngineLoad *load, double *round_trip_s);
/* Orders the engine to load exactly the adapters in `list`, separated by ';'.
   `fence` is the version of the plan. */
PlaceOrderResult engine_set_adapters(const char *url, uint64_t fence,
                                     const char *list);
/* Returns the total tokens of the answer's usage object, -1 without one. */
int64_t engine_usage_tokens(json_t *answer);
/* Sets the maximum of output tokens and requests usage at the end of a
   stream. */
void engine_limit_output(json_t *request, int64_t max_output);
/* Sets the model field to the adapter, or to the model without one. */
void engine_set_model(json_t *request, const char *model, const char *adapter);
/* Returns the maximum of output tokens that the request sets, 0 for none. */
int64_t engine_requested_max_tokens(json_t *request);

#endif
