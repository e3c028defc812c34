#ifndef PERIDOT_STORE_HTTP_H
#define PERIDOT_STORE_HTTP_H

/* Internal: calls of the platform's API and the objects in its answers.  */

#include "store.h"

#include <curl/curl.h>
#include <json.h>

typedef struct call
{
  const char *method;
  const char *target; /* path and query, escaped */
  const char *body;   /* or NULL */
  struct curl_slist *headers;
  clock_ms_t timeout_ms;
  bool repeatable; /* libcurl may send it again on a new connection */
} call_t;

typedef struct answer
{
  bool sent;   /* a byte of the call may have been sent */
  long status; /* 0: no answer */
  char *text;  /* ended by zero; to be freed */
  size_t length;
} answer_t;

/**
 * store_call() - make a call and wait for its answer
 * @answer: to be cleared with store_answer_clear() in any case
 *
 * Return: 0 with any status, -ETIMEDOUT, -ECONNREFUSED (not sent), -EIO (cut
 * short or reset), -EMSGSIZE (answer too large) or -ENOMEM.
 */
int store_call (store_t *store, const call_t *call, answer_t *answer);
void store_answer_clear (answer_t *answer);

/* Sets the text of store_get_error().  Return: @err.  */
int store_fail (store_t *store, int err, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * store_target() - make a path that names an object
 * Return: the text, to be freed, or NULL when out of memory.
 */
char *store_target (const char *name);

/* Text of a list request, to be freed, or NULL when out of memory.  */
char *store_list_target (const char *prefix, uint64_t since);

/**
 * store_parse() - parse an answer's text
 * Return: the JSON object, to be put, or NULL when it is malformed.
 */
json_object *store_parse (const answer_t *answer);

/* Reads a member that is a number of at least 0.  */
bool store_read_number (json_object *json, const char *name, uint64_t *number);

/* Return: a member's text, or an empty one; the JSON object's.  */
const char *store_read_text (json_object *json, const char *name);

/**
 * store_read_object() - check an object of the API
 * @object: its texts belong to @json
 * Return: 0, -EPROTO, or -EMSGSIZE for a body above STORE_VALUE_MAX.
 */
int store_read_object (store_t *store, json_object *json,
                       store_object_t *object);

/* Milliseconds of CLOCK_BOOTTIME.  */
clock_ms_t store_now (void);

#endif
