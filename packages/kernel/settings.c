/* settings.c: builds an argp parser from the list of settings. */
#include "kernel/settings.h"

#include <argp.h>
#include <arpa/inet.h>
#include <assert.h>
#include <ctype.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SETTINGS 32
#define FIRST_OPTION_KEY 1000

static const Setting *find_setting(const Setting *list, const char *flag) {
  for (; list->flag; list++)
    if (strcmp(list->flag, flag) == 0) return list;
  assert(!"a setting of this name is in the list");
  return NULL;
}

static error_t parse_option(int key, char *arg, struct argp_state *state) {
  Setting *list = state->input;
  if (key < FIRST_OPTION_KEY || key >= FIRST_OPTION_KEY + MAX_SETTINGS)
    return ARGP_ERR_UNKNOWN;
  list[key - FIRST_OPTION_KEY].value = arg ? arg : "on";
  return 0;
}

/* == checks == */

static bool check_number(const Setting *s, Err *e) {
  char *end;
  errno = 0;
  long n = strtol(s->value, &end, 10);
  if (!errno && !*end && end != s->value && n >= s->min && n <= s->max)
    return true;
  return err_set(e, ERR_SETTING,
                 "--%s (%s): '%s' is not a whole number from %ld to %ld",
                 s->flag, s->env, s->value, s->min, s->max);
}

static bool check_address(const Setting *s, Err *e) {
  char ip[64] = "";
  struct in_addr in;
  const char *colon = strrchr(s->value, ':');
  size_t n = colon ? (size_t)(colon - s->value) : sizeof ip;
  if (n < sizeof ip) memcpy(ip, s->value, n);
  int port = colon ? atoi(colon + 1) : 0;
  if (n < sizeof ip && inet_pton(AF_INET, ip, &in) == 1 && port > 0 &&
      port < 65536)
    return true;
  return err_set(e, ERR_SETTING, "--%s (%s): '%s' is not ip:port", s->flag,
                 s->env, s->value);
}

static bool check_name(const Setting *s, Err *e) {
  const char *c = s->value;
  while (isalnum((unsigned char)*c) || *c == '-' || *c == '_') c++;
  bool empty_is_fine = s->fallback && !s->fallback[0];
  if (!*c && c == s->value && empty_is_fine) return true;
  if (!*c && c != s->value && c - s->value < 24) return true;
  return err_set(e, ERR_SETTING,
                 "--%s (%s): '%s' must be 1 to 23 letters, digits, - or _",
                 s->flag, s->env, s->value);
}

static bool check_setting(const Setting *s, Err *e) {
  if (!s->value)
    return err_set(e, ERR_SETTING, "--%s (%s) is missing", s->flag, s->env);
  switch (s->type) {
  case SETTING_NUMBER: return check_number(s, e);
  case SETTING_ADDRESS: return check_address(s, e);
  case SETTING_NAME: return check_name(s, e);
  default: return true;
  }
}

/* == settings file == */

/* An empty value is none: templates may be filled in with nothing. */
static bool is_given(const Setting *s) {
  return s->value && s->value[0];
}

static void parse_line(Setting *list, char *line) {
  char *eq = strchr(line, '=');
  if (!eq || line[0] == '#') return;
  *eq = '\0';
  const char *flag = g_strstrip(line), *value = g_strstrip(eq + 1);
  for (; list->flag; list++)
    if (!is_given(list) && strcmp(list->flag, flag) == 0)
      list->value = g_strdup(value); /* never freed */
}

static bool read_file(Setting *list, const char *path, Err *e) {
  char *text = NULL;
  GError *error = NULL;
  if (!g_file_get_contents(path, &text, NULL, &error)) {
    err_set(e, ERR_SETTING, "can't read %s: %s", path, error->message);
    g_error_free(error);
    return false;
  }
  char **lines = g_strsplit(text, "\n", -1);
  for (int i = 0; lines[i]; i++) parse_line(list, lines[i]);
  g_strfreev(lines);
  g_free(text);
  return true;
}

bool settings_read(Setting *list, int argc, char **argv, const char *about,
                   Err *e) {
  static struct argp_option options[MAX_SETTINGS + 1];
  static char help[MAX_SETTINGS][256];
  int n = 0;
  for (; list[n].flag; n++) {
    assert(n < MAX_SETTINGS);
    const Setting *s = &list[n];
    snprintf(help[n], sizeof help[n], "%s [%s%s%s]", s->help, s->env,
             s->fallback ? ", default " : "", s->fallback ? s->fallback : "");
    options[n] =
        (struct argp_option){.name = s->flag,
                             .key = FIRST_OPTION_KEY + n,
                             .arg = s->type == SETTING_FLAG ? NULL : "VALUE",
                             .doc = help[n]};
  }
  struct argp argp = {.options = options, .parser = parse_option, .doc = about};
  if (argp_parse(&argp, argc, argv, 0, NULL, list) != 0)
    return err_set(e, ERR_SETTING, "the flags can't be read");
  const char *path = getenv(SETTINGS_FILE_ENV);
  for (int i = 0; i < n; i++)
    if (!is_given(&list[i])) list[i].value = getenv(list[i].env);
  if (path && !read_file(list, path, e)) return false;
  for (int i = 0; i < n; i++) {
    if (!is_given(&list[i])) list[i].value = list[i].fallback;
    if (!check_setting(&list[i], e)) return false;
  }
  return true;
}

const char *settings_text(const Setting *list, const char *flag) {
  return find_setting(list, flag)->value;
}

long settings_number(const Setting *list, const char *flag) {
  return strtol(find_setting(list, flag)->value, NULL, 10);
}

bool settings_flag(const Setting *list, const char *flag) {
  const char *v = find_setting(list, flag)->value;
  return strcmp(v, "on") == 0 || strcmp(v, "1") == 0;
}
