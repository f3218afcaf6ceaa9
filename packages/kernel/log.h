/* log.h: JSON lines through GLib's structured logging. */
#ifndef KERNEL_LOG_H
#define KERNEL_LOG_H

#include <stdbool.h>

/* Installs the writer. `instance` stands on every line. `debug` lets through
   the debug level. */
void log_open(const char *instance, bool debug);
/* From here on lines go to standard output, which never blocks the process:
   what does not fit is dropped and counted. At most `lines` a second of
   log_info are written; warnings always are. */
void log_limit_rate(int lines);
/* One line: `event` names what happened; the rest is a jansson pack format
   with its arguments (without braces), e.g. log_info("route", "s:s", ...).
   Never pass a key or a prompt. */
void log_info(const char *event, const char *fmt, ...);
void log_warn(const char *event, const char *fmt, ...);

#endif
