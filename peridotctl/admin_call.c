#include "ctl.h"

#include <curl/curl.h>
#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000L
#define REQUEST_TIMEOUT_MS 10000L
#define RESPONSE_BYTES_MAX ((size_t)64 << 20)

/* Body of a response as it is received.  */
typedef struct buffer
{
  char *data; /* ends with a zero byte; NULL: nothing received yet */
  size_t length;
} buffer_t;

static size_t append_to_buffer (char *data, size_t size, size_t count,
                                void *context);
static CURLcode call_address (const ctl_options_t *opts, const char *url,
                              const char *method, const char *path,
                              const char *body, buffer_t *buffer,
                              long *status);
static bool is_failure_before_send (CURLcode code);
static ctl_exit_t parse_response (const char *operation, const char *url,
                                  buffer_t *buffer,
                                  admin_response_t *response);

ctl_exit_t
admin_call (const ctl_options_t *opts, const char *operation,
            const char *method, const char *path, const char *body,
            admin_response_t *response)
{
  bool is_read = strcmp (method, "GET") == 0;

  *response = (admin_response_t){ 0 };
  for (size_t i = 0; opts->urls[i] != NULL; i++)
    {
      buffer_t buffer = { 0 };
      CURLcode code = call_address (opts, opts->urls[i], method, path, body,
                                    &buffer, &response->status);

      if (code == CURLE_OK && response->status == 503
          && opts->urls[i + 1] != NULL)
        {
          warnx ("%s: %s: status 503", operation, opts->urls[i]);
          free (buffer.data);
          continue;
        }
      if (code == CURLE_OK)
        return parse_response (operation, opts->urls[i], &buffer, response);
      free (buffer.data);
      warnx ("%s: %s: %s", operation, opts->urls[i],
             curl_easy_strerror (code));
      if (!is_read && !is_failure_before_send (code))
        {
          warnx ("%s: the change may be in effect: read it back", operation);
          return CTL_UNREACHABLE;
        }
    }
  warnx ("%s: no admin address answered", operation);
  return CTL_UNREACHABLE;
}

/* Returns whether libcurl failed before it sent anything.  */
static bool
is_failure_before_send (CURLcode code)
{
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
         || code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

static CURLcode
call_address (const ctl_options_t *opts, const char *url, const char *method,
              const char *path, const char *body, buffer_t *buffer,
              long *status)
{
  struct curl_slist *headers = NULL;
  char *full_url = NULL;
  char line[64];
  size_t length = strlen (url);
  CURL *curl = curl_easy_init ();
  CURLcode code = CURLE_OUT_OF_MEMORY;

  while (length > 0 && url[length - 1] == '/')
    length--;
  if (curl == NULL
      || asprintf (&full_url, "%.*s%s", (int)length, url, path) < 0)
    {
      full_url = NULL;
      goto out;
    }
  if (opts->has_expected_version && opts->expected_version == 0)
    headers = curl_slist_append (headers, "If-None-Match: *");
  else if (opts->has_expected_version)
    {
      (void)snprintf (line, sizeof line, "If-Match: %" PRIu64,
                      opts->expected_version);
      headers = curl_slist_append (headers, line);
    }
  curl_easy_setopt (curl, CURLOPT_URL, full_url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (strcmp (method, "GET") != 0)
    {
      headers = curl_slist_append (headers, "Content-Type: application/json");
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body == NULL ? "" : body);
    }
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_to_buffer);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, buffer);
  code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    code = curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);

out:
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  free (full_url);
  return code;
}

static size_t
append_to_buffer (char *data, size_t size, size_t count, void *context)
{
  buffer_t *buffer = context;
  size_t bytes = size * count;
  char *grown;

  if (bytes > RESPONSE_BYTES_MAX - buffer->length)
    return 0;
  grown = realloc (buffer->data, buffer->length + bytes + 1);
  if (grown == NULL)
    return 0;
  memcpy (grown + buffer->length, data, bytes);
  buffer->data = grown;
  buffer->length += bytes;
  buffer->data[buffer->length] = '\0';
  return bytes;
}

/* Parses the body and frees it.  Prints an error for an error status and for
   a body that is not a JSON object.  */
static ctl_exit_t
parse_response (const char *operation, const char *url, buffer_t *buffer,
                admin_response_t *response)
{
  json_object *version;

  response->root
      = buffer->data == NULL ? NULL : json_tokener_parse (buffer->data);
  free (buffer->data);
  if (response->status >= 200 && response->status < 300
      && json_object_is_type (response->root, json_type_object))
    return CTL_OK;
  if (response->status >= 200 && response->status < 300)
    warnx ("%s: %s: the answer is no JSON object", operation, url);
  else if (response->status == 409
           && json_object_object_get_ex (response->root, "version", &version)
           && json_object_get_uint64 (version) == 0)
    warnx ("%s: conflict: it does not exist", operation);
  else if (response->status == 409
           && json_object_object_get_ex (response->root, "version", &version))
    warnx ("%s: conflict: the current version is %" PRIu64, operation,
           json_object_get_uint64 (version));
  else
    warnx ("%s: %s (status %ld)", operation,
           json_object_is_type (response->root, json_type_object)
               ? ctl_get_text (response->root, "detail")
               : "refused",
           response->status);
  admin_response_free (response);
  return CTL_REFUSED;
}

void
admin_response_free (admin_response_t *response)
{
  json_object_put (response->root);
  response->root = NULL;
}

char *
admin_path (const char *collection, const char *name, const char *suffix)
{
  char *encoded = curl_easy_escape (NULL, name, 0);
  char *path = NULL;

  if (encoded == NULL
      || asprintf (&path, "/v1/%s/%s%s", collection, encoded, suffix) < 0)
    err (CTL_REFUSED, "path of %s", name);
  curl_free (encoded);
  return path;
}

const char *
ctl_get_text (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
                 && json_object_is_type (value, json_type_string)
             ? json_object_get_string (value)
             : "";
}

uint64_t
ctl_get_number (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
             ? json_object_get_uint64 (value)
             : 0;
}

bool
ctl_get_bool (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
         && json_object_get_boolean (value);
}

json_object *
ctl_get_array (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
                 && json_object_is_type (value, json_type_array)
             ? value
             : NULL;
}

void
ctl_print_json (json_object *root)
{
  puts (json_object_to_json_string_ext (
      root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
                | JSON_C_TO_STRING_NOSLASHESCAPE));
}
