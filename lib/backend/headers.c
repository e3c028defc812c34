#include "attempt.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Headers that are not forwarded, because they are hop-by-hop or because this
   library or libcurl sets them.  */
static const char *const removed_headers[] = { "Connection",
                                               "Content-Length",
                                               "Expect",
                                               "Host",
                                               "Idempotency-Key",
                                               "Keep-Alive",
                                               "Proxy-Authorization",
                                               "Proxy-Connection",
                                               "Request-Deadline-Ms",
                                               "Request-Timeout-Ms",
                                               "TE",
                                               "Traceparent",
                                               "Trailer",
                                               "Transfer-Encoding",
                                               "Upgrade" };

static bool
is_token (const char *text)
{
  if (*text == '\0')
    return false;
  for (; *text != '\0'; text++)
    if (*text <= ' ' || *text >= 0x7f
        || strchr ("()<>@,;:\\\"/[]?={}", *text) != NULL)
      return false;
  return true;
}

/* Rejects control characters, which could end the header line early.  */
static bool
is_field_value (const char *text)
{
  for (; *text != '\0'; text++)
    if (((unsigned char)*text < ' ' && *text != '\t') || *text == 0x7f)
      return false;
  return true;
}

static bool
is_request_target (const char *text)
{
  if (*text != '/')
    return false;
  for (; *text != '\0'; text++)
    if (*text <= ' ' || *text >= 0x7f)
      return false;
  return true;
}

/* Return: whether the text looks like IP:PORT.  A host name is rejected since
   its resolution can take seconds.  */
static bool
is_ip_and_port (const char *text)
{
  const char *characters
      = text[0] == '[' ? "0123456789abcdefABCDEF:.[]" : "0123456789.:";

  return text[0] != '\0' && strspn (text, characters) == strlen (text)
         && strchr (text, ':') != NULL;
}

static bool
is_removed_header (const backend_request_t *request, const char *name)
{
  if (request->range != NULL && strcasecmp (name, "Range") == 0)
    return true;
  if (request->if_range != NULL && strcasecmp (name, "If-Range") == 0)
    return true;
  for (size_t i = 0; i < sizeof removed_headers / sizeof removed_headers[0];
       i++)
    if (strcasecmp (name, removed_headers[i]) == 0)
      return true;
  return false;
}

bool
backend_header_is_valid (const backend_header_t *header)
{
  return is_token (header->name) && is_field_value (header->value);
}

bool
backend_request_is_valid (const backend_request_t *request)
{
  const char *values[] = { request->idempotency_key, request->traceparent,
                           request->range, request->if_range };

  if (!is_ip_and_port (request->address))
    return false;
  if (!is_token (request->method) || !is_request_target (request->path))
    return false;
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    if (values[i] != NULL && !is_field_value (values[i]))
      return false;
  for (size_t i = 0; i < request->header_count; i++)
    if (!backend_header_is_valid (&request->headers[i]))
      return false;
  return true;
}

static int
append_header (attempt_t *attempt, const char *name, const char *value)
{
  struct curl_slist *list;
  char *line;
  int length;

  if (value == NULL)
    return 0;
  /* libcurl sends a header without value if it is given as "Name;".  */
  if (value[0] == '\0')
    length = asprintf (&line, "%s;", name);
  else
    length = asprintf (&line, "%s: %s", name, value);
  if (length < 0)
    return -ENOMEM;
  list = curl_slist_append (attempt->headers, line);
  free (line);
  if (list == NULL)
    return -ENOMEM;
  attempt->headers = list;
  return 0;
}

/* Prevents libcurl from adding its default header; @line is "Name:".  */
static int
suppress_header (attempt_t *attempt, const char *line)
{
  struct curl_slist *list = curl_slist_append (attempt->headers, line);

  if (list == NULL)
    return -ENOMEM;
  attempt->headers = list;
  return 0;
}

int
backend_headers_build (attempt_t *attempt)
{
  const backend_request_t *request = attempt->request;
  bool has_accept = false;
  bool has_content_type = false;
  int err = 0;

  for (size_t i = 0; i < request->header_count && err == 0; i++)
    {
      const backend_header_t *header = &request->headers[i];

      if (is_removed_header (request, header->name))
        continue;
      has_accept |= strcasecmp (header->name, "Accept") == 0;
      has_content_type |= strcasecmp (header->name, "Content-Type") == 0;
      err = append_header (attempt, header->name, header->value);
    }
  if (err == 0)
    err = append_header (attempt, "Idempotency-Key", request->idempotency_key);
  if (err == 0)
    err = append_header (attempt, "traceparent", request->traceparent);
  if (err == 0)
    err = append_header (attempt, "Range", request->range);
  if (err == 0)
    err = append_header (attempt, "If-Range", request->if_range);
  if (err == 0)
    err = suppress_header (attempt, "Expect:");
  if (err == 0 && !has_accept)
    err = suppress_header (attempt, "Accept:");
  if (err == 0 && !has_content_type)
    err = suppress_header (attempt, "Content-Type:");
  attempt->deadline_header.data = attempt->deadline_text;
  attempt->deadline_header.next = attempt->headers;
  backend_headers_set_time_left (attempt, backend_now_us ());
  return err;
}

void
backend_headers_clear (attempt_t *attempt)
{
  curl_slist_free_all (attempt->headers);
  attempt->headers = NULL;
}

void
backend_headers_set_time_left (attempt_t *attempt, int64_t now_us)
{
  int64_t left_ms = attempt->request->deadline - now_us / 1000;

  snprintf (attempt->deadline_text, sizeof attempt->deadline_text,
            "Request-Deadline-Ms: %lld",
            left_ms > 0 ? (long long)left_ms : 0LL);
}
