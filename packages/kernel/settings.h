/* settings.h: settings from flags, environment variables and a file, validated
   before anything starts. */
#ifndef KERNEL_SETTINGS_H
#define KERNEL_SETTINGS_H

#include <stdbool.h>

#include "kernel/err.h"

typedef enum {
  SETTING_TEXT,
  SETTING_NUMBER,  /* integer from min to max */
  SETTING_ADDRESS, /* ip:port */
  SETTING_NAME,    /* letters, digits, - and _ */
  SETTING_FLAG     /* on or off, takes no value */
} SettingType;

typedef struct Setting {
  const char *flag; /* without dashes */
  const char *env;
  SettingType type;
  const char *fallback; /* NULL: must be given */
  const char *help;
  long min, max;
  const char *value; /* filled by settings_read */
} Setting;

/* Environment variable with the path of a settings file, one "flag = value" a
   line; `#` begins a comment line, unknown names are ignored. */
#define SETTINGS_FILE "LOFTPATH_NODE_FILE"

/* A value comes from the flag, else the environment, else the file that
   SETTINGS_FILE names, else the fallback. `list` ends with a NULL flag. Prints
   help and usage errors as argp does. */
bool settings_read(Setting *list, int argc, char **argv, const char *about,
                   Err *e);
const char *settings_text(const Setting *list, const char *flag);
long settings_number(const Setting *list, const char *flag);
bool settings_flag(const Setting *list, const char *flag);

#endif
