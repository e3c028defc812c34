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

static const char *const policies[] = {
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
} levels[] = {
  { "error", G_LOG_LEVEL_ERROR },     { "critical", G_LOG_LEVEL_CRITICAL },
  { "warning", G_LOG_LEVEL_WARNING }, { "notice", G_LOG_LEVEL_MESSAGE },
  { "info", G_LOG_LEVEL_INFO },       { "debug", G_LOG_LEVEL_DEBUG },
};

static int read_file (const char *path, char **text, size_t *length,
                      conf_error_t *error);
static int read_settings (reader_t *reader, json_object *root,
                          conf_settings_t *settings);
static int read_listen (reader_t *reader, json_object *root,
                        conf_settings_t *settings);
static int read_instances (reader_t *reader, json_object *root,
                           conf_settings_t *settings);
static int read_instance (reader_t *reader, json_object *item,
                          conf_settings_t *settings);
static int find_own (reader_t *reader, conf_settings_t *settings);
static int read_store (reader_t *reader, json_object *root,
                       conf_settings_t *settings);
static int check_url (reader_t *reader, char *url);
static int read_limits (reader_t *reader, json_object *root,
                        conf_settings_t *settings);
static int read_choices (reader_t *reader, json_object *root,
                         conf_settings_t *settings);

const char *
conf_policy_name (conf_policy_t policy)
{
  return policies[policy];
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
  reader_t reader;
  json_object *root;
  int result = reader_open (&reader, path, text, length, error, &root);

  if (result != 0)
    return result;
  *settings = (conf_settings_t){
    .group = "default",
    .store_timeout_ms = 800,
    .workers = 128,
    .body_bytes = 1 << 20,
    .header_bytes = 16384,
    .key_bytes = 64 << 20,
    .request_header_timeout_ms = 5000,
    .log_level = G_LOG_LEVEL_INFO,
  };
  result = read_settings (&reader, root, settings);
  json_object_put (root);
  return result;
}

static int
read_settings (reader_t *reader, json_object *root, conf_settings_t *settings)
{
  static const char *const keys[]
      = { "instance",  "data_centre", "group",   "listen", "advertise",
          "instances", "store",       "workers", "limits", "log_level",
          "trace",     "policy",      "seed",    NULL };
  int64_t workers = settings->workers;
  int64_t seed = 0;
  int result;

  if ((result = check_keys (reader, root, keys)) != 0
      || (result
          = read_name (reader, root, "instance", REQUIRED, settings->instance))
             != 0
      || (result = read_name (reader, root, "data_centre", REQUIRED,
                              settings->data_centre))
             != 0
      || (result
          = read_name (reader, root, "group", OPTIONAL, settings->group))
             != 0
      || (result = read_listen (reader, root, settings)) != 0
      || (result = read_address (reader, root, "advertise", OPTIONAL,
                                 settings->advertise))
             != 0
      || (result = read_instances (reader, root, settings)) != 0
      || (result = read_store (reader, root, settings)) != 0
      || (result = read_integer (reader, root, "workers", OPTIONAL,
                                 (range_t){ 1, 4096 }, &workers))
             != 0
      || (result = read_limits (reader, root, settings)) != 0
      || (result = read_choices (reader, root, settings)) != 0
      || (result = read_share (reader, root, "trace", &settings->trace)) != 0
      || (result = read_integer (reader, root, "seed", OPTIONAL,
                                 (range_t){ 0, INT64_MAX }, &seed))
             != 0)
    return result;
  settings->workers = (uint32_t)workers;
  settings->has_seed = json_object_object_get (root, "seed") != NULL;
  settings->seed = (uint64_t)seed;
  return 0;
}

static int
read_listen (reader_t *reader, json_object *root, conf_settings_t *settings)
{
  static const char *const keys[] = { "callers", "admin", "peers", NULL };
  json_object *listen;
  size_t depth;
  int result = read_object (reader, root, "listen", REQUIRED, &listen);

  if (result != 0)
    return result;
  depth = reader_enter (reader, "listen");
  if ((result = check_keys (reader, listen, keys)) != 0
      || (result = read_address (reader, listen, "callers", REQUIRED,
                                 settings->listen_clients))
             != 0
      || (result = read_address (reader, listen, "admin", REQUIRED,
                                 settings->listen_admin))
             != 0
      || (result = read_address (reader, listen, "peers", REQUIRED,
                                 settings->listen_peers))
             != 0)
    return result;
  if (strcmp (settings->listen_clients, settings->listen_admin) == 0
      || strcmp (settings->listen_clients, settings->listen_peers) == 0
      || strcmp (settings->listen_admin, settings->listen_peers) == 0)
    return reader_fail (reader, "two of the addresses are equal");
  reader_leave (reader, depth);
  return 0;
}

static int
read_instances (reader_t *reader, json_object *root, conf_settings_t *settings)
{
  json_object *list;
  size_t outer;
  int result = read_array (reader, root, "instances",
                           (range_t){ 1, CONF_INSTANCES_MAX }, &list);

  if (result != 0)
    return result;
  outer = reader_enter (reader, "instances");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      size_t depth = reader_enter_index (reader, i);

      result = read_instance (reader, json_object_array_get_idx (list, i),
                              settings);
      if (result != 0)
        return result;
      reader_leave (reader, depth);
    }
  result = find_own (reader, settings);
  if (result == 0)
    reader_leave (reader, outer);
  return result;
}

static int
read_instance (reader_t *reader, json_object *item, conf_settings_t *settings)
{
  static const char *const keys[]
      = { "name", "data_centre", "callers", "peers", NULL };
  conf_instance_t *new = &settings->instances[settings->instance_count];
  int result;

  if (!json_object_is_type (item, json_type_object))
    return reader_fail (reader, "must be an object");
  if ((result = check_keys (reader, item, keys)) != 0
      || (result = read_name (reader, item, "name", REQUIRED, new->name)) != 0
      || (result = read_name (reader, item, "data_centre", REQUIRED,
                              new->data_centre))
             != 0
      || (result
          = read_address (reader, item, "callers", REQUIRED, new->callers))
             != 0
      || (result = read_address (reader, item, "peers", REQUIRED, new->peers))
             != 0)
    return result;
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      const conf_instance_t *old = &settings->instances[i];

      if (strcmp (old->name, new->name) == 0)
        return reader_fail_key (reader, "name", "duplicate instance \"%s\"",
                                new->name);
      if (strcmp (old->callers, new->callers) == 0)
        return reader_fail_key (reader, "callers",
                                "same address as instance \"%s\"", old->name);
      if (strcmp (old->peers, new->peers) == 0)
        return reader_fail_key (reader, "peers",
                                "same address as instance \"%s\"", old->name);
    }
  settings->instance_count++;
  return 0;
}

static int
find_own (reader_t *reader, conf_settings_t *settings)
{
  const conf_instance_t *own;
  uint32_t i = 0;

  while (i < settings->instance_count
         && strcmp (settings->instances[i].name, settings->instance) != 0)
    i++;
  if (i == settings->instance_count)
    return reader_fail (reader, "own instance \"%s\" is not listed",
                        settings->instance);
  own = &settings->instances[i];
  settings->own = i;
  if (strcmp (own->data_centre, settings->data_centre) != 0)
    {
      reader_enter_index (reader, i);
      return reader_fail_key (reader, "data_centre",
                              "differs from $.data_centre \"%s\"",
                              settings->data_centre);
    }
  if (settings->advertise[0] == '\0')
    memcpy (settings->advertise, own->callers, sizeof settings->advertise);
  return 0;
}

static int
read_store (reader_t *reader, json_object *root, conf_settings_t *settings)
{
  static const char *const keys[] = { "url", "timeout_ms", NULL };
  json_object *store;
  size_t depth;
  int result = read_object (reader, root, "store", REQUIRED, &store);

  if (result != 0)
    return result;
  depth = reader_enter (reader, "store");
  if ((result = check_keys (reader, store, keys)) != 0
      || (result = read_string (reader, store, "url", REQUIRED, CONF_URL_MAX,
                                settings->store_url))
             != 0
      || (result = check_url (reader, settings->store_url)) != 0
      || (result
          = read_integer (reader, store, "timeout_ms", OPTIONAL,
                          (range_t){ 50, 5000 }, &settings->store_timeout_ms))
             != 0)
    return result;
  reader_leave (reader, depth);
  return 0;
}

/* The host is an IP number because instances resolve no names.  */
static int
check_url (reader_t *reader, char *url)
{
  g_autofree char *scheme = NULL;
  g_autofree char *user = NULL;
  g_autofree char *host = NULL;
  g_autofree char *query = NULL;
  g_autofree char *fragment = NULL;
  unsigned char binary[sizeof (struct in6_addr)];
  char shown[64];
  size_t length;

  if (!g_uri_split (url, G_URI_FLAGS_NONE, &scheme, &user, &host, NULL, NULL,
                    &query, &fragment, NULL)
      || scheme == NULL || host == NULL || user != NULL || query != NULL
      || fragment != NULL
      || (strcmp (scheme, "http") != 0 && strcmp (scheme, "https") != 0)
      || (inet_pton (AF_INET, host, binary) != 1
          && inet_pton (AF_INET6, host, binary) != 1))
    return reader_fail_key (reader, "url",
                            "\"%s\" is not an http or https URL with an IP "
                            "number",
                            printable (url, shown));
  length = strlen (url);
  while (length > 0 && url[length - 1] == '/')
    url[--length] = '\0';
  return 0;
}

static int
read_limits (reader_t *reader, json_object *root, conf_settings_t *settings)
{
  static const char *const keys[] = { "body_bytes", "header_bytes",
                                      "request_header_ms", "key_bytes", NULL };
  int64_t body = (int64_t)settings->body_bytes;
  int64_t header = settings->header_bytes;
  int64_t key = (int64_t)settings->key_bytes;
  json_object *limits;
  size_t depth;
  int result = read_object (reader, root, "limits", OPTIONAL, &limits);

  if (result != 0 || limits == NULL)
    return result;
  depth = reader_enter (reader, "limits");
  if ((result = check_keys (reader, limits, keys)) != 0
      || (result = read_integer (reader, limits, "body_bytes", OPTIONAL,
                                 (range_t){ 1024, 64 << 20 }, &body))
             != 0
      || (result = read_integer (reader, limits, "header_bytes", OPTIONAL,
                                 (range_t){ 1024, 65536 }, &header))
             != 0
      || (result = read_integer (reader, limits, "request_header_ms", OPTIONAL,
                                 (range_t){ 100, 60000 },
                                 &settings->request_header_timeout_ms))
             != 0
      || (result
          = read_integer (reader, limits, "key_bytes", OPTIONAL,
                          (range_t){ 1 << 20, INT64_C (1) << 32 }, &key))
             != 0)
    return result;
  settings->body_bytes = (uint64_t)body;
  settings->header_bytes = (uint32_t)header;
  settings->key_bytes = (uint64_t)key;
  reader_leave (reader, depth);
  return 0;
}

static int
read_choices (reader_t *reader, json_object *root, conf_settings_t *settings)
{
  char text[DECIDE_NAME_MAX] = "info";
  size_t i = 0;
  int result
      = read_string (reader, root, "log_level", OPTIONAL, sizeof text, text);

  if (result != 0)
    return result;
  while (i < G_N_ELEMENTS (levels) && strcmp (levels[i].name, text) != 0)
    i++;
  if (i == G_N_ELEMENTS (levels))
    return reader_fail_key (reader, "log_level",
                            "must be error, critical, warning, notice, info "
                            "or debug");
  settings->log_level = levels[i].level;
  (void)g_strlcpy (text, policies[CONF_POLICY_OWNER], sizeof text);
  result = read_string (reader, root, "policy", OPTIONAL, sizeof text, text);
  if (result != 0)
    return result;
  for (i = 0; i < G_N_ELEMENTS (policies); i++)
    if (strcmp (policies[i], text) == 0)
      {
        settings->policy = (conf_policy_t)i;
        return 0;
      }
  return reader_fail_key (reader, "policy",
                          "must be owner, random, round-robin, "
                          "least-outstanding or power-of-two");
}
