/* engine.h: what is spelled differently from engine to engine: paths, names of
   headers and fields. Another engine is another engine.c. */
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
  int priority;   /* 0 first */
  const char *body;
  size_t len;
} EngineCall;

/* Starts a completion on a connection of its own: never sent twice. */
HttpStream *engine_open(HttpClient *c, const EngineCall *call, HttpResponse *a);
/* Goes on with the stream of a run whose connection broke, after `seen` events
   of it; status 404 when the engine no longer has it. */
HttpStream *engine_resume(HttpClient *c, const char *id, int seen,
                          HttpResponse *a);
/* Stops a run; tokens it counted, -1 when the engine can't say. */
int64_t engine_cancel(const char *url, const char *id);
/* False when there was no answer. `path_s` gets the seconds it took. */
bool engine_load(const char *url, EngineLoad *load, double *path_s);
/* Orders the engine to have exactly the adapters `list`, separated by ';'. */
PlaceAnswer engine_adapters(const char *url, uint64_t fence, const char *list);
/* Tokens of a usage object; -1 when there is none. */
int64_t engine_usage(json_t *answer);
/* Sets the cap on output and asks for usage at the end of a stream. */
void engine_bound(json_t *request, int64_t max_output);
/* Names the model, or the adapter on it, as the engine knows it. */
void engine_model(json_t *request, const char *model, const char *adapter);
/* The cap that a request asks for, 0 when none. */
int64_t engine_asked(json_t *request);

#endif
