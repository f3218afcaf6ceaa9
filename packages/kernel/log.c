/* log.c: a GLib log writer that prints JSON lines. */
#define G_LOG_DOMAIN "loftpath"
#include "kernel/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kernel/count.h"
#include "kernel/limits.h"

static char self[LIMIT_ID_BYTES];
static bool verbose;
static int max_lines_per_s; /* lines of log_info; 0: unlimited */
/* In this second; since they were last reported. */
static int lines_written, lines_dropped;
static time_t current_second;

/* Uses one write for a line, so that lines of several threads do not mix. */
static void write_text(const char *text) {
  if (max_lines_per_s == 0) {
    fprintf(stderr, "%s\n", text);
    return;
  }
  char *line = g_strconcat(text, "\n", NULL);
  size_t len = strlen(line);
  if (write(STDOUT_FILENO, line, len) != (ssize_t)len) {
    lines_dropped++;
    count_add(COUNT_LOG_DROPPED, 1);
  }
  g_free(line);
}

/* Messages of libraries arrive here too, and are printed as JSON as well. */
static GLogWriterOutput write_line(GLogLevelFlags level,
                                   const GLogField *fields, gsize n,
                                   gpointer data) {
  (void)data;
  const char *text = "", *json_line = NULL;
  for (gsize i = 0; i < n; i++) {
    if (g_str_equal(fields[i].key, "MESSAGE")) text = fields[i].value;
    if (g_str_equal(fields[i].key, "LOFTPATH_JSON"))
      json_line = fields[i].value;
  }
  if ((level & G_LOG_LEVEL_DEBUG) && !verbose) return G_LOG_WRITER_HANDLED;
  if (json_line) {
    write_text(json_line);
    return G_LOG_WRITER_HANDLED;
  }
  json_t *o = json_pack("{s:s,s:s}", "event", "library", "text", text);
  char *s = json_dumps(o, JSON_COMPACT);
  write_text(s);
  free(s);
  json_decref(o);
  return G_LOG_WRITER_HANDLED;
}

void log_open(const char *instance, bool debug) {
  g_strlcpy(self, instance, sizeof self);
  verbose = debug;
  g_log_set_writer_func(write_line, NULL, NULL);
}

static void write_event(GLogLevelFlags level, const char *name,
                        const char *event, const char *fmt, va_list ap) {
  struct timespec t;
  clock_gettime(CLOCK_REALTIME, &t);
  char *packed = g_strdup_printf("{%s}", fmt);
  json_error_t bad;
  json_t *o = json_vpack_ex(&bad, 0, packed, ap);
  g_free(packed);
  json_t *line = json_pack("{s:f,s:s,s:s,s:s}", "t",
                           (double)t.tv_sec + (double)t.tv_nsec / 1e9, "level",
                           name, "instance", self, "event", event);
  if (o) json_object_update(line, o);
  char *s = json_dumps(line, JSON_COMPACT | JSON_REAL_PRECISION(16));
  g_log_structured(G_LOG_DOMAIN, level, "LOFTPATH_JSON", s, "MESSAGE", "%s",
                   event);
  free(s);
  json_decref(line);
  json_decref(o);
}

void log_limit_rate(int max_lines) {
  max_lines_per_s = max_lines;
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* The rate is limited only in a process that logs from one thread, that of the
   event loop; hence no lock. */
static bool is_over_limit(void) {
  if (max_lines_per_s == 0) return false;
  time_t now = time(NULL);
  if (now != current_second) {
    current_second = now;
    lines_written = 0;
    int lost = lines_dropped;
    lines_dropped = 0;
    if (lost > 0) log_warn("log-dropped", "s:i", "lines", lost);
  }
  if (++lines_written <= max_lines_per_s) return false;
  lines_dropped++;
  count_add(COUNT_LOG_DROPPED, 1);
  return true;
}

void log_info(const char *event, const char *fmt, ...) {
  va_list ap;
  if (is_over_limit()) return;
  va_start(ap, fmt);
  write_event(G_LOG_LEVEL_MESSAGE, "info", event, fmt, ap);
  va_end(ap);
}

void log_warn(const char *event, const char *fmt, ...) {
  va_list ap;
  va_start(ap, fmt);
  write_event(G_LOG_LEVEL_WARNING, "warn", event, fmt, ap);
  va_end(ap);
}
