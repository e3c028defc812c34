#include "check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define SETTINGS_BYTES_MAX (1 << 20)

static const char *const policy_names[] = {
  [CONF_POLICY_OWNER] = "owner",
  [CONF_POLICY_RANDOM] = "random",
  [CONF_POLICY_ROUND_ROBIN] = "round-robin",
  [CONF_POLICY_LEAST_OUTSTANDING] = "least-outstanding",
  [CONF_POLICY_POWER_OF_TWO] = "power-of-two",
};

static const struct
{
  const char *name;
  GLogLevelFlags level;
} log_levels[] = {
  { "error", G_LOG_LEVEL_ERROR },     { "critical", G_LOG_LEVEL_CRITICAL },
  { "warning", G_LOG_LEVEL_WARNING }, { "notice", G_LOG_LEVEL_MESSAGE },
  { "info", G_LOG_LEVEL_INFO },       { "debug", G_LOG_LEVEL_DEBUG },
};

static int read_file (const char *path, char **text, size_t *length,
                      conf_error_t *error);
static int parse_root (conf_parser_t *parser, json_object *root,
                       conf_settings_t *settings);
static int parse_listen (conf_parser_t *parser, json_object *root,
                         conf_settings_t *settings);
static int parse_instances (conf_parser_t *parser, json_object *root,
                            conf_settings_t *settings);
static int parse_instance_entry (conf_parser_t *parser, json_object *item,
                                 conf_settings_t *settings);
static int find_own_instance (conf_parser_t *parser,
                              conf_settings_t *settings);
static int parse_store (conf_parser_t *parser, json_object *root,
                        conf_settings_t *settings);
static int check_store_url (conf_parser_t *parser, char *url);
static int parse_limits (conf_parser_t *parser, json_object *root,
                         conf_settings_t *settings);
static int parse_log_level_and_policy (conf_parser_t *parser,
                                       json_object *root,
                                       conf_settings_t *settings);

const char *
conf_policy_name (conf_policy_t policy)
{
  return policy_names[policy];
}

int
conf_read_settings (const char *path, conf_settings_t *settings,
                    conf_error_t *error)
{
  char *text = NULL;
  size_t length = 0;
  int result = read_file (path, &text, &length, error);

  if (result == 0)
    result = conf_parse_settings (path, text, length, settings, error);
  free (text);
  return result;
}

static int
read_file (const char *path, char **text, size_t *length, conf_error_t *error)
{
  FILE *file = fopen (path, "re");
  int result = 0;

  if (file == NULL)
    {
      result = -errno;
      goto out;
    }
  *text = malloc (SETTINGS_BYTES_MAX + 1);
  if (*text == NULL)
    {
      result = -ENOMEM;
      goto out;
    }
  *length = fread (*text, 1, SETTINGS_BYTES_MAX + 1, file);
  if (ferror (file))
    result = errno != 0 ? -errno : -EIO;
  else if (*length > SETTINGS_BYTES_MAX)
    result = -EFBIG;

out:
  if (file != NULL)
    (void)fclose (file);
  if (result != 0)
    (void)snprintf (error->text, sizeof error->text, "%s: %s", path,
                    g_strerror (-result));
  return result;
}

int
conf_parse_settings (const char *path, const char *text, size_t length,
                     conf_settings_t *settings, conf_error_t *error)
{
  conf_parser_t parser;
  json_object *root;
  int result
      = conf_parse_root_object (&parser, path, text, length, error, &root);

  if (result != 0)
    return result;
  *settings = (conf_settings_t){
    .group = "default",
    .store_timeout_ms = 800,
    .workers = 128,
    .body_bytes = 1 << 20,
    .header_bytes = 16384,
    .key_bytes_limit = 64 << 20,
    .request_header_timeout_ms = 5000,
    .log_level = G_LOG_LEVEL_INFO,
  };
  result = parse_root (&parser, root, settings);
  json_object_put (root);
  return result;
}

static int
parse_root (conf_parser_t *parser, json_object *root,
            conf_settings_t *settings)
{
  static const char *const keys[]
      = { "instance",  "data_centre", "group",   "listen", "advertise",
          "instances", "store",       "workers", "limits", "log_level",
          "trace",     "policy",      "seed",    NULL };
  int64_t workers = settings->workers;
  int64_t seed = 0;
  int result;

  if ((result = conf_check_keys (parser, root, keys)) != 0
      || (result = conf_get_name (parser, root, "instance", CONF_REQUIRED,
                                  settings->instance))
             != 0
      || (result = conf_get_name (parser, root, "data_centre", CONF_REQUIRED,
                                  settings->data_centre))
             != 0
      || (result = conf_get_name (parser, root, "group", CONF_OPTIONAL,
                                  settings->group))
             != 0
      || (result = parse_listen (parser, root, settings)) != 0
      || (result = conf_get_address (parser, root, "advertise", CONF_OPTIONAL,
                                     settings->advertised_address))
             != 0
      || (result = parse_instances (parser, root, settings)) != 0
      || (result = parse_store (parser, root, settings)) != 0
      || (result = conf_get_integer (parser, root, "workers", CONF_OPTIONAL,
                                     (conf_range_t){ 1, 4096 }, &workers))
             != 0
      || (result = parse_limits (parser, root, settings)) != 0
      || (result = parse_log_level_and_policy (parser, root, settings)) != 0
      || (result = conf_get_fraction (parser, root, "trace", &settings->trace))
             != 0
      || (result = conf_get_integer (parser, root, "seed", CONF_OPTIONAL,
                                     (conf_range_t){ 0, INT64_MAX }, &seed))
             != 0)
    return result;
  settings->workers = (uint32_t)workers;
  settings->has_seed = json_object_object_get (root, "seed") != NULL;
  settings->seed = (uint64_t)seed;
  return 0;
}

static int
parse_listen (conf_parser_t *parser, json_object *root,
              conf_settings_t *settings)
{
  static const char *const keys[] = { "callers", "admin", "peers", NULL };
  json_object *listen;
  size_t saved_length;
  int result
      = conf_get_object (parser, root, "listen", CONF_REQUIRED, &listen);

  if (result != 0)
    return result;
  saved_length = conf_parser_enter_key (parser, "listen");
  if ((result = conf_check_keys (parser, listen, keys)) != 0
      || (result = conf_get_address (parser, listen, "callers", CONF_REQUIRED,
                                     settings->listen_clients))
             != 0
      || (result = conf_get_address (parser, listen, "admin", CONF_REQUIRED,
                                     settings->listen_admin))
             != 0
      || (result = conf_get_address (parser, listen, "peers", CONF_REQUIRED,
                                     settings->listen_peers))
             != 0)
    return result;
  if (strcmp (settings->listen_clients, settings->listen_admin) == 0
      || strcmp (settings->listen_clients, settings->listen_peers) == 0
      || strcmp (settings->listen_admin, settings->listen_peers) == 0)
    return conf_parser_fail (parser, "two of the addresses are equal");
  conf_parser_leave (parser, saved_length);
  return 0;
}

static int
parse_instances (conf_parser_t *parser, json_object *root,
                 conf_settings_t *settings)
{
  json_object *list;
  size_t list_saved_length;
  int result = conf_get_array (parser, root, "instances",
                               (conf_range_t){ 1, CONF_INSTANCES_MAX }, &list);

  if (result != 0)
    return result;
  list_saved_length = conf_parser_enter_key (parser, "instances");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      size_t saved_length = conf_parser_enter_index (parser, i);

      result = parse_instance_entry (
          parser, json_object_array_get_idx (list, i), settings);
      if (result != 0)
        return result;
      conf_parser_leave (parser, saved_length);
    }
  result = find_own_instance (parser, settings);
  if (result == 0)
    conf_parser_leave (parser, list_saved_length);
  return result;
}

static int
parse_instance_entry (conf_parser_t *parser, json_object *item,
                      conf_settings_t *settings)
{
  static const char *const keys[]
      = { "name", "data_centre", "callers", "peers", NULL };
  conf_instance_t *new = &settings->instances[settings->instance_count];
  int result;

  if (!json_object_is_type (item, json_type_object))
    return conf_parser_fail (parser, "must be an object");
  if ((result = conf_check_keys (parser, item, keys)) != 0
      || (result
          = conf_get_name (parser, item, "name", CONF_REQUIRED, new->name))
             != 0
      || (result = conf_get_name (parser, item, "data_centre", CONF_REQUIRED,
                                  new->data_centre))
             != 0
      || (result = conf_get_address (parser, item, "callers", CONF_REQUIRED,
                                     new->callers))
             != 0
      || (result = conf_get_address (parser, item, "peers", CONF_REQUIRED,
                                     new->peers))
             != 0)
    return result;
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      const conf_instance_t *old = &settings->instances[i];

      if (strcmp (old->name, new->name) == 0)
        return conf_parser_fail_key (parser, "name",
                                     "duplicate instance \"%s\"", new->name);
      if (strcmp (old->callers, new->callers) == 0)
        return conf_parser_fail_key (
            parser, "callers", "same address as instance \"%s\"", old->name);
      if (strcmp (old->peers, new->peers) == 0)
        return conf_parser_fail_key (
            parser, "peers", "same address as instance \"%s\"", old->name);
    }
  settings->instance_count++;
  return 0;
}

static int
find_own_instance (conf_parser_t *parser, conf_settings_t *settings)
{
  const conf_instance_t *own;
  uint32_t i = 0;

  while (i < settings->instance_count
         && strcmp (settings->instances[i].name, settings->instance) != 0)
    i++;
  if (i == settings->instance_count)
    return conf_parser_fail (parser, "own instance \"%s\" is not listed",
                             settings->instance);
  own = &settings->instances[i];
  settings->own = i;
  if (strcmp (own->data_centre, settings->data_centre) != 0)
    {
      conf_parser_enter_index (parser, i);
      return conf_parser_fail_key (parser, "data_centre",
                                   "differs from $.data_centre \"%s\"",
                                   settings->data_centre);
    }
  if (settings->advertised_address[0] == '\0')
    memcpy (settings->advertised_address, own->callers,
            sizeof settings->advertised_address);
  return 0;
}

static int
parse_store (conf_parser_t *parser, json_object *root,
             conf_settings_t *settings)
{
  static const char *const keys[] = { "url", "timeout_ms", NULL };
  json_object *store;
  size_t saved_length;
  int result = conf_get_object (parser, root, "store", CONF_REQUIRED, &store);

  if (result != 0)
    return result;
  saved_length = conf_parser_enter_key (parser, "store");
  if ((result = conf_check_keys (parser, store, keys)) != 0
      || (result = conf_get_string (parser, store, "url", CONF_REQUIRED,
                                    CONF_URL_MAX, settings->store_url))
             != 0
      || (result = check_store_url (parser, settings->store_url)) != 0
      || (result = conf_get_integer (parser, store, "timeout_ms",
                                     CONF_OPTIONAL, (conf_range_t){ 50, 5000 },
                                     &settings->store_timeout_ms))
             != 0)
    return result;
  conf_parser_leave (parser, saved_length);
  return 0;
}

/* Checks the store's URL and removes slashes at its end.  The host must be an
   IP address because instances do not resolve host names.  */
static int
check_store_url (conf_parser_t *parser, char *url)
{
  g_autofree char *scheme = NULL;
  g_autofree char *user = NULL;
  g_autofree char *host = NULL;
  g_autofree char *query = NULL;
  g_autofree char *fragment = NULL;
  unsigned char binary[sizeof (struct in6_addr)];
  char buffer[64];
  size_t length;

  if (!g_uri_split (url, G_URI_FLAGS_NONE, &scheme, &user, &host, NULL, NULL,
                    &query, &fragment, NULL)
      || scheme == NULL || host == NULL || user != NULL || query != NULL
      || fragment != NULL
      || (strcmp (scheme, "http") != 0 && strcmp (scheme, "https") != 0)
      || (inet_pton (AF_INET, host, binary) != 1
          && inet_pton (AF_INET6, host, binary) != 1))
    return conf_parser_fail_key (
        parser, "url",
        "\"%s\" is not an http or https URL with an IP "
        "number",
        conf_make_printable (url, buffer));
  length = strlen (url);
  while (length > 0 && url[length - 1] == '/')
    url[--length] = '\0';
  return 0;
}

static int
parse_limits (conf_parser_t *parser, json_object *root,
              conf_settings_t *settings)
{
  static const char *const keys[] = { "body_bytes", "header_bytes",
                                      "request_header_ms", "key_bytes", NULL };
  int64_t body = (int64_t)settings->body_bytes;
  int64_t header = settings->header_bytes;
  int64_t key = (int64_t)settings->key_bytes_limit;
  json_object *limits;
  size_t saved_length;
  int result
      = conf_get_object (parser, root, "limits", CONF_OPTIONAL, &limits);

  if (result != 0 || limits == NULL)
    return result;
  saved_length = conf_parser_enter_key (parser, "limits");
  if ((result = conf_check_keys (parser, limits, keys)) != 0
      || (result
          = conf_get_integer (parser, limits, "body_bytes", CONF_OPTIONAL,
                              (conf_range_t){ 1024, 64 << 20 }, &body))
             != 0
      || (result
          = conf_get_integer (parser, limits, "header_bytes", CONF_OPTIONAL,
                              (conf_range_t){ 1024, 65536 }, &header))
             != 0
      || (result
          = conf_get_integer (parser, limits, "request_header_ms",
                              CONF_OPTIONAL, (conf_range_t){ 100, 60000 },
                              &settings->request_header_timeout_ms))
             != 0
      || (result = conf_get_integer (
              parser, limits, "key_bytes", CONF_OPTIONAL,
              (conf_range_t){ 1 << 20, INT64_C (1) << 32 }, &key))
             != 0)
    return result;
  settings->body_bytes = (uint64_t)body;
  settings->header_bytes = (uint32_t)header;
  settings->key_bytes_limit = (uint64_t)key;
  conf_parser_leave (parser, saved_length);
  return 0;
}

static int
parse_log_level_and_policy (conf_parser_t *parser, json_object *root,
                            conf_settings_t *settings)
{
  char text[DECIDE_NAME_MAX] = "info";
  size_t i = 0;
  int result = conf_get_string (parser, root, "log_level", CONF_OPTIONAL,
                                sizeof text, text);

  if (result != 0)
    return result;
  while (i < G_N_ELEMENTS (log_levels)
         && strcmp (log_levels[i].name, text) != 0)
    i++;
  if (i == G_N_ELEMENTS (log_levels))
    return conf_parser_fail_key (
        parser, "log_level",
        "must be error, critical, warning, notice, info "
        "or debug");
  settings->log_level = log_levels[i].level;
  (void)g_strlcpy (text, policy_names[CONF_POLICY_OWNER], sizeof text);
  result = conf_get_string (parser, root, "policy", CONF_OPTIONAL, sizeof text,
                            text);
  if (result != 0)
    return result;
  for (i = 0; i < G_N_ELEMENTS (policy_names); i++)
    if (strcmp (policy_names[i], text) == 0)
      {
        settings->policy = (conf_policy_t)i;
        return 0;
      }
  return conf_parser_fail_key (parser, "policy",
                               "must be owner, random, round-robin, "
                               "least-outstanding or power-of-two");
}
