#include "http.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_BACK_PAUSE_MS 50

static bool
add_header (struct curl_slist **list, const char *line)
{
  struct curl_slist *longer = curl_slist_append (*list, line);

  if (longer == NULL)
    return false;
  *list = longer;
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

/* Reads the answer of a write.  Return: STORE_UNKNOWN when the answer doesn't
   say what happened.  */
static store_result_t
read_answer (store_t *store, const store_write_t *write,
             const answer_t *answer, store_written_t *written)
{
  json_object *json = store_parse (answer);
  store_result_t result = STORE_UNKNOWN;

  if (answer->status >= 200 && answer->status < 300)
    {
      if (store_read_number (json, "version", &written->version)
          && store_read_number (json, "revision", &written->revision))
        result = STORE_OK;
    }
  else if (answer->status == 409 || answer->status == 412
           || answer->status == 404)
    {
      /* With its own change id, it is the answer to an earlier attempt.  */
      result
          = strcmp (store_read_text (json, "change_id"), write->change_id) == 0
                ? STORE_OK
                : STORE_CONFLICT;
      store_read_number (json, "version", &written->version);
      store_read_number (json, "revision", &written->revision);
    }
  else if (answer->status >= 400 && answer->status < 500)
    result = STORE_FAILED;
  json_object_put (json);
  if (result == STORE_CONFLICT)
    written->error = store_fail (store, -EEXIST, "%s: version is %" PRIu64,
                                 write->name, written->version);
  else if (result != STORE_OK)
    written->error = store_fail (store, -EIO, "%s: status %ld", write->name,
                                 answer->status);
  return result;
}

typedef struct search
{
  const char *name;
  const char *change_id;
  bool ours;
  uint64_t version;
  uint64_t revision;
} search_t;

static void
compare (void *context, const store_object_t *object)
{
  search_t *search = context;

  if (strcmp (object->name, search->name) != 0)
    return;
  search->ours = strcmp (object->change_id, search->change_id) == 0;
  search->version = object->version;
  search->revision = object->revision;
}

/* Reads the object until it shows whether the write took effect.  The list
   is read, because it has tombstones as well.  */
static store_result_t
read_back (store_t *store, const store_write_t *write,
           store_written_t *written)
{
  clock_ms_t end = store_now () + write->read_back_ms;
  uint64_t revision;

  for (clock_ms_t left = write->read_back_ms; left > 0;
       left = end - store_now ())
    {
      search_t search = { .name = write->name, .change_id = write->change_id };
      int err = store_read_since (store, write->name, 0, left, compare,
                                  &search, &revision);

      if (err == 0 && (search.ours || search.version > write->expected))
        {
          written->version = search.version;
          written->revision = search.revision;
          written->read_back = true;
          if (search.ours)
            return STORE_OK;
          /* The next version is another change, so this one was and will be
             refused.  Before a later one, it may have been in effect.  */
          written->error
              = store_fail (store, -EEXIST, "%s: version is %" PRIu64,
                            write->name, search.version);
          return search.version == write->expected + 1 ? STORE_CONFLICT
                                                       : STORE_UNKNOWN;
        }
      /* The write may still be on its way.  */
      left = end - store_now ();
      if (left > 0)
        poll (NULL, 0,
              left < READ_BACK_PAUSE_MS ? (int)left : READ_BACK_PAUSE_MS);
    }
  return STORE_UNKNOWN;
}

static store_result_t
execute (store_t *store, const store_write_t *write, const char *method,
         const char *body, store_written_t *written)
{
  call_t call
      = { .method = method, .body = body, .timeout_ms = write->timeout_ms };
  char *target = store_target (write->name);
  store_result_t result = STORE_FAILED;
  answer_t answer = { .text = NULL };

  *written = (store_written_t){ .error = -ENOMEM };
  if (target == NULL || !add_headers (write, &call.headers))
    goto out;
  call.target = target;
  written->error = store_call (store, &call, &answer);
  if (written->error == 0)
    result = read_answer (store, write, &answer, written);
  else if (answer.sent)
    result = STORE_UNKNOWN;
  if (result == STORE_UNKNOWN)
    result = read_back (store, write, written);
  if (result == STORE_OK)
    written->error = 0;
out:
  store_answer_clear (&answer);
  curl_slist_free_all (call.headers);
  free (target);
  return result;
}

store_result_t
store_put (store_t *store, const store_write_t *write,
           store_written_t *written)
{
  if (strlen (write->body) > STORE_VALUE_MAX)
    {
      *written = (store_written_t){
        .error = store_fail (store, -EMSGSIZE, "%.100s: value above %d bytes",
                             write->name, STORE_VALUE_MAX)
      };
      return STORE_FAILED;
    }
  return execute (store, write, "PUT", write->body, written);
}

store_result_t
store_delete (store_t *store, const store_write_t *write,
              store_written_t *written)
{
  return execute (store, write, "DELETE", NULL, written);
}
