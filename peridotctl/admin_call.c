#include "ctl.h"

#include <curl/curl.h>
#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_MS 2000L
#define CALL_MS 10000L
#define ANSWER_BYTES_MAX ((size_t)64 << 20)

typedef struct text
{
  char *data;
  size_t length;
} text_t;

static size_t take (char *data, size_t size, size_t count, void *context);
static CURLcode call_one (const ctl_t *ctl, const char *url,
                          const char *method, const char *path,
                          const char *body, text_t *text, long *status);
static bool is_unsent (CURLcode code);
static ctl_exit_t finish (const char *what, const char *url, text_t *text,
                          answer_t *answer);

ctl_exit_t
admin_call (const ctl_t *ctl, const char *what, const char *method,
            const char *path, const char *body, answer_t *answer)
{
  bool reads = strcmp (method, "GET") == 0;

  *answer = (answer_t){ 0 };
  for (size_t i = 0; ctl->urls[i] != NULL; i++)
    {
      text_t text = { 0 };
      CURLcode code = call_one (ctl, ctl->urls[i], method, path, body, &text,
                                &answer->status);

      if (code == CURLE_OK && answer->status == 503
          && ctl->urls[i + 1] != NULL)
        {
          warnx ("%s: %s: status 503", what, ctl->urls[i]);
          free (text.data);
          continue;
        }
      if (code == CURLE_OK)
        return finish (what, ctl->urls[i], &text, answer);
      free (text.data);
      warnx ("%s: %s: %s", what, ctl->urls[i], curl_easy_strerror (code));
      if (!reads && !is_unsent (code))
        {
          warnx ("%s: the change may be in effect: read it back", what);
          return CTL_UNREACHED;
        }
    }
  warnx ("%s: no admin address answered", what);
  return CTL_UNREACHED;
}

static bool
is_unsent (CURLcode code)
{
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
         || code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

static CURLcode
call_one (const ctl_t *ctl, const char *url, const char *method,
          const char *path, const char *body, text_t *text, long *status)
{
  struct curl_slist *headers = NULL;
  char *full = NULL;
  char line[64];
  size_t length = strlen (url);
  CURL *curl = curl_easy_init ();
  CURLcode code = CURLE_OUT_OF_MEMORY;

  while (length > 0 && url[length - 1] == '/')
    length--;
  if (curl == NULL || asprintf (&full, "%.*s%s", (int)length, url, path) < 0)
    {
      full = NULL;
      goto out;
    }
  if (ctl->has_expect && ctl->expect == 0)
    headers = curl_slist_append (headers, "If-None-Match: *");
  else if (ctl->has_expect)
    {
      (void)snprintf (line, sizeof line, "If-Match: %" PRIu64, ctl->expect);
      headers = curl_slist_append (headers, line);
    }
  curl_easy_setopt (curl, CURLOPT_URL, full);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, CALL_MS);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (strcmp (method, "GET") != 0)
    {
      headers = curl_slist_append (headers, "Content-Type: application/json");
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body == NULL ? "" : body);
    }
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    code = curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);

out:
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  free (full);
  return code;
}

static size_t
take (char *data, size_t size, size_t count, void *context)
{
  text_t *text = context;
  size_t bytes = size * count;
  char *grown;

  if (bytes > ANSWER_BYTES_MAX - text->length)
    return 0;
  grown = realloc (text->data, text->length + bytes + 1);
  if (grown == NULL)
    return 0;
  memcpy (grown + text->length, data, bytes);
  text->data = grown;
  text->length += bytes;
  text->data[text->length] = '\0';
  return bytes;
}

static ctl_exit_t
finish (const char *what, const char *url, text_t *text, answer_t *answer)
{
  json_object *version;

  answer->root = text->data == NULL ? NULL : json_tokener_parse (text->data);
  free (text->data);
  if (answer->status >= 200 && answer->status < 300
      && json_object_is_type (answer->root, json_type_object))
    return CTL_OK;
  if (answer->status >= 200 && answer->status < 300)
    warnx ("%s: %s: the answer is no JSON object", what, url);
  else if (answer->status == 409
           && json_object_object_get_ex (answer->root, "version", &version)
           && json_object_get_uint64 (version) == 0)
    warnx ("%s: conflict: it does not exist", what);
  else if (answer->status == 409
           && json_object_object_get_ex (answer->root, "version", &version))
    warnx ("%s: conflict: the current version is %" PRIu64, what,
           json_object_get_uint64 (version));
  else
    warnx ("%s: %s (status %ld)", what,
           json_object_is_type (answer->root, json_type_object)
               ? get_text (answer->root, "detail")
               : "refused",
           answer->status);
  answer_free (answer);
  return CTL_REFUSED;
}

void
answer_free (answer_t *answer)
{
  json_object_put (answer->root);
  answer->root = NULL;
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
get_text (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
                 && json_object_is_type (value, json_type_string)
             ? json_object_get_string (value)
             : "";
}

uint64_t
get_number (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
             ? json_object_get_uint64 (value)
             : 0;
}

bool
get_flag (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
         && json_object_get_boolean (value);
}

json_object *
get_list (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value)
                 && json_object_is_type (value, json_type_array)
             ? value
             : NULL;
}

void
print_json (json_object *root)
{
  puts (json_object_to_json_string_ext (
      root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
                | JSON_C_TO_STRING_NOSLASHESCAPE));
}
