#include "http.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Pause between attempts to read an object back.  */
#define READ_BACK_PAUSE_MS 50

static bool
add_header (struct curl_slist **list, const char *line)
{
  struct curl_slist *extended = curl_slist_append (*list, line);

  if (extended == NULL)
    return false;
  *list = extended;
  return true;
}

static bool
add_headers (const store_write_t *write, struct curl_slist **list)
{
  char line[256];

  if (write->expected == 0)
    snprintf (line, sizeof line, "If-None-Match: *");
  else
    snprintf (line, sizeof line, "If-Match: %" PRIu64, write->expected);
  if (!add_header (list, line))
    return false;
  snprintf (line, sizeof line, "Change-Id: %s", write->change_id);
  return add_header (list, line) && add_header (list, "Expect:")
         && add_header (list, "Content-Type: application/json");
}

/* Evaluates the response to a write.  Return: STORE_UNKNOWN when the response
   does not show whether the change took effect.  */
static store_result_t
evaluate_response (store_t *store, const store_write_t *write,
                   const store_response_t *response,
                   store_write_details_t *details)
{
  json_object *json = store_parse_response (response);
  store_result_t result = STORE_UNKNOWN;

  if (response->status >= 200 && response->status < 300)
    {
      if (store_json_get_number (json, "version", &details->version)
          && store_json_get_number (json, "revision", &details->revision))
        result = STORE_OK;
    }
  else if (response->status == 409 || response->status == 412
           || response->status == 404)
    {
      /* If the current object has the change id of this write, an earlier
         attempt of the write took effect.  */
      result
          = strcmp (store_json_get_text (json, "change_id"), write->change_id)
                    == 0
                ? STORE_OK
                : STORE_CONFLICT;
      store_json_get_number (json, "version", &details->version);
      store_json_get_number (json, "revision", &details->revision);
    }
  else if (response->status >= 400 && response->status < 500)
    result = STORE_FAILED;
  json_object_put (json);
  if (result == STORE_CONFLICT)
    details->error = store_set_error (
        store, -EEXIST, "%s: conflict: current version is %" PRIu64,
        write->name, details->version);
  else if (result != STORE_OK)
    details->error = store_set_error (store, -EIO, "%s: HTTP status %ld",
                                      write->name, response->status);
  return result;
}

/* Context of match_object(): the object to look for in a list read from the
   store, and its state there.  */
typedef struct lookup
{
  const char *name;
  const char *change_id;
  bool has_change_id; /* the object found has @change_id */
  uint64_t version;   /* of the object found; 0: none */
  uint64_t revision;
} lookup_t;

static void
match_object (void *context, const store_object_t *object)
{
  lookup_t *lookup = context;

  if (strcmp (object->name, lookup->name) != 0)
    return;
  lookup->has_change_id = strcmp (object->change_id, lookup->change_id) == 0;
  lookup->version = object->version;
  lookup->revision = object->revision;
}

/* Reads the object until it shows whether the write took effect.  A list is
   read, because it also has the tombstones of deleted objects.  */
static store_result_t
read_back (store_t *store, const store_write_t *write,
           store_write_details_t *details)
{
  clock_ms_t deadline = store_now_ms () + write->read_back_ms;
  uint64_t revision;

  for (clock_ms_t remaining_ms = write->read_back_ms; remaining_ms > 0;
       remaining_ms = deadline - store_now_ms ())
    {
      lookup_t lookup = { .name = write->name, .change_id = write->change_id };
      int err = store_read_since (store, write->name, 0, remaining_ms,
                                  match_object, &lookup, &revision);

      if (err == 0
          && (lookup.has_change_id || lookup.version > write->expected))
        {
          details->version = lookup.version;
          details->revision = lookup.revision;
          details->was_read_back = true;
          if (lookup.has_change_id)
            return STORE_OK;
          /* Another change has been made.  If it has the next version after
             the expected one, this write was or will be rejected.  If the
             object has a later version already, this write may have been one
             of the changes in between.  */
          details->error = store_set_error (store, -EEXIST,
                                            "%s: current version is %" PRIu64,
                                            write->name, lookup.version);
          return lookup.version == write->expected + 1 ? STORE_CONFLICT
                                                       : STORE_UNKNOWN;
        }
      /* The read failed, or the write may still be in transit.  */
      remaining_ms = deadline - store_now_ms ();
      if (remaining_ms > 0)
        poll (NULL, 0,
              remaining_ms < READ_BACK_PAUSE_MS ? (int)remaining_ms
                                                : READ_BACK_PAUSE_MS);
    }
  return STORE_UNKNOWN;
}

/* Sends a write and, if its result is unknown, reads the object back.  */
static store_result_t
execute_write (store_t *store, const store_write_t *write, const char *method,
               const char *body, store_write_details_t *details)
{
  store_request_t request
      = { .method = method, .body = body, .timeout_ms = write->timeout_ms };
  char *target = store_object_target (write->name);
  store_result_t result = STORE_FAILED;
  store_response_t response = { .text = NULL };

  *details = (store_write_details_t){ .error = -ENOMEM };
  if (target == NULL || !add_headers (write, &request.headers))
    goto out;
  request.target = target;
  details->error = store_perform_request (store, &request, &response);
  if (details->error == 0)
    result = evaluate_response (store, write, &response, details);
  else if (response.sent)
    result = STORE_UNKNOWN;
  if (result == STORE_UNKNOWN)
    result = read_back (store, write, details);
  if (result == STORE_OK)
    details->error = 0;
out:
  store_response_clear (&response);
  curl_slist_free_all (request.headers);
  free (target);
  return result;
}

store_result_t
store_put (store_t *store, const store_write_t *write,
           store_write_details_t *details)
{
  if (strlen (write->body) > STORE_VALUE_MAX_BYTES)
    {
      *details = (store_write_details_t){
        .error = store_set_error (store, -EMSGSIZE,
                                  "%.100s: value larger than %d bytes",
                                  write->name, STORE_VALUE_MAX_BYTES)
      };
      return STORE_FAILED;
    }
  return execute_write (store, write, "PUT", write->body, details);
}

store_result_t
store_delete (store_t *store, const store_write_t *write,
              store_write_details_t *details)
{
  return execute_write (store, write, "DELETE", NULL, details);
}
