/* log.h: JSON lines through GLib's structured logging. */
#ifndef KERNEL_LOG_H
#define KERNEL_LOG_H

#include <stdbool.h>

/* Installs the writer. `instance` is a field of every line. `debug` enables the
   debug level. */
void log_open(const char *instance, bool debug);
/* From this call on, lines go to standard output, which is made non-blocking:
   lines that do not fit are dropped and counted. At most `max_lines` of
   log_info are written per second; warnings always are. */
void log_limit_rate(int max_lines);
/* Writes one line: `event` names what happened; the rest is a jansson pack
   format with its arguments (without braces), e.g. log_info("route", "s:s",
   ...). Never pass a key or a prompt. */
void log_info(const char *event, const char *fmt, ...);
void log_warn(const char *event, const char *fmt, ...);

#endif
