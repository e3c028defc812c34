#include "pool.h"

#include <errno.h>
#include <json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPORT_MAX_BYTES 4096

typedef struct report
{
  size_t length;
  char text[REPORT_MAX_BYTES];
} report_t;

/* Appends a part of the body to the report.  Return: -1 if it is too long.  */
static int
append_body (void *context, const void *data, size_t length)
{
  report_t *report = context;

  if (length >= sizeof report->text - report->length)
    return -1;
  memcpy (report->text + report->length, data, length);
  report->length += length;
  report->text[report->length] = '\0';
  return 0;
}

/* Reads a member that is a JSON integer or boolean.  Return: false if it is
   missing, of another type or out of range.  */
static bool
get_number (json_object *root, const char *name, uint32_t *number)
{
  json_object *value;
  int64_t integer;

  if (!json_object_object_get_ex (root, name, &value)
      || (!json_object_is_type (value, json_type_int)
          && !json_object_is_type (value, json_type_boolean)))
    return false;
  integer = json_object_get_int64 (value);
  if (integer < 0 || integer > UINT32_MAX)
    return false;
  *number = (uint32_t)integer;
  return true;
}

static bool
get_identity (json_object *root, uint64_t *identity)
{
  json_object *value;
  const char *text;
  char *rest;

  if (!json_object_object_get_ex (root, "identity", &value)
      || !json_object_is_type (value, json_type_string))
    return false;
  text = json_object_get_string (value);
  if (strspn (text, "0123456789abcdefABCDEF") != strlen (text))
    return false;
  errno = 0;
  *identity = strtoull (text, &rest, 16);
  return rest != text && errno == 0;
}

static int
parse_report (const char *text, decide_load_t *load)
{
  json_object *root = json_tokener_parse (text);
  decide_load_t parsed = { .present = true };
  uint32_t cold = 0;
  uint32_t draining = 0;
  bool is_valid = json_object_is_type (root, json_type_object)
                  && get_number (root, "in_flight", &parsed.in_flight)
                  && get_number (root, "queued", &parsed.queued)
                  && get_number (root, "slots", &parsed.slots)
                  && get_number (root, "cold", &cold)
                  && get_number (root, "draining", &draining)
                  && get_identity (root, &parsed.identity);

  json_object_put (root);
  if (!is_valid)
    return -EPROTO;
  parsed.cold = cold != 0;
  parsed.draining = draining != 0;
  *load = parsed;
  return 0;
}

int
backend_probe (backend_pool_t *pool, const char *address,
               clock_ms_t timeout_ms, decide_load_t *load,
               clock_ms_t *latency_ms)
{
  clock_ms_t deadline = backend_now_us () / 1000 + timeout_ms;
  report_t report = { .length = 0 };
  backend_result_t result;
  backend_request_t request = { .address = address,
                                .method = "GET",
                                .path = "/load",
                                .start_by = deadline,
                                .deadline = deadline,
                                .idempotent = true,
                                .new_connection = true,
                                .cancel_fd = -1,
                                .context = &report,
                                .on_body = append_body };
  int err = backend_attempt (pool, &request, &result);

  *load = (decide_load_t){ 0 };
  if (latency_ms != NULL)
    *latency_ms = result.end.latency_ms;
  if (err != 0)
    return err;
  switch (result.end.result)
    {
    case DECIDE_ATTEMPT_ANSWERED:
      if (result.end.status != 200)
        return -EIO;
      return parse_report (report.text, load);
    case DECIDE_ATTEMPT_NOT_SENT:
      return backend_now_us () / 1000 >= deadline ? -ETIMEDOUT : -ECONNREFUSED;
    case DECIDE_ATTEMPT_TIMEOUT:
      return -ETIMEDOUT;
    case DECIDE_ATTEMPT_CANCELLED: /* append_body() has rejected a report that
                                      is too long */
      return -EPROTO;
    default:
      return -EIO;
    }
}
