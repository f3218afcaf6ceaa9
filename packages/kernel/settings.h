/* settings.h: settings from flags, environment variables and a file, validated
   before anything starts. */
#ifndef KERNEL_SETTINGS_H
#define KERNEL_SETTINGS_H

#include <stdbool.h>

#include "kernel/err.h"

typedef enum {
  SETTING_TEXT,
  SETTING_NUMBER,  /* integer from `min` to `max` */
  SETTING_ADDRESS, /* ip:port */
  SETTING_NAME,    /* letters, digits, - and _ */
  SETTING_FLAG     /* true for "on" or "1"; the flag itself takes no value */
} SettingType;

typedef struct Setting {
  const char *flag; /* name of the command-line flag, without dashes */
  const char *env;  /* name of the environment variable */
  SettingType type;
  const char *fallback; /* value if none is given; NULL: one must be given */
  const char *help;
  long min, max;
  const char *value; /* filled by settings_read */
} Setting;

/* Environment variable with the path of a settings file, one "flag = value" a
   line; `#` begins a comment line, unknown names are ignored. */
#define SETTINGS_FILE_ENV "LOFTPATH_NODE_FILE"

/* Reads and checks the settings in `list`, which ends with a NULL flag. The
   value is taken from the flag, else the environment variable, else the
   settings file, else the fallback; an empty one counts as none. `about` is the
   program's description in the help. Prints help and usage errors as argp does.
 */
bool settings_read(Setting *list, int argc, char **argv, const char *about,
                   Err *e);
/* Return the value of the setting with this flag. */
const char *settings_text(const Setting *list, const char *flag);
long settings_number(const Setting *list, const char *flag);
bool settings_flag(const Setting *list, const char *flag);

#endif
