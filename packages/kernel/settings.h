/* settings.h: settings by flag and environment variable, all checked before
   anything starts. */
#ifndef KERNEL_SETTINGS_H
#define KERNEL_SETTINGS_H

#include <stdbool.h>

#include "kernel/err.h"

typedef enum {
  SETTING_TEXT,
  SETTING_NUMBER,  /* whole, from min to max */
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

/* Environment variable that names a file of settings, a "flag = value" a line;
   `#` begins a comment, names that are not known are passed over. */
#define SETTINGS_FILE "LOFTPATH_NODE_FILE"

/* Reads flags first, then the environment, then the file that SETTINGS_FILE
   names, then the fallback; `list` ends with a NULL flag. Prints help and usage
   errors as argp does. */
bool settings_read(Setting *list, int argc, char **argv, const char *about,
                   Err *e);
const char *settings_text(const Setting *list, const char *flag);
long settings_number(const Setting *list, const char *flag);
bool settings_flag(const Setting *list, const char *flag);

#endif
