#ifndef PERIDOT_STORE_HTTP_H
#define PERIDOT_STORE_HTTP_H

/* Internal: requests to the platform's API and objects in its responses.  */

#include "store.h"

#include <curl/curl.h>
#include <json.h>

typedef struct store_request
{
  const char *method;
  const char *target; /* path and query, percent-encoded */
  const char *body;   /* or NULL */
  struct curl_slist *headers;
  clock_ms_t timeout_ms; /* for the whole request and response */
  bool can_resend;       /* libcurl may resend it on a new connection */
} store_request_t;

typedef struct store_response
{
  bool sent;   /* some of the request may have been sent */
  long status; /* HTTP status code; 0: no response */
  char *text;  /* body with a NUL byte at the end; NULL when empty */
  size_t length;
} store_response_t;

/**
 * store_perform_request() - send a request and wait for its response
 * @store: client
 * @request: request to send
 * @response: to be cleared with store_response_clear() in any case
 *
 * Return: 0 for a complete response with any status, -ETIMEDOUT, -ECONNREFUSED
 * (not sent), -EIO (truncated or connection reset), -EMSGSIZE (response too
 * large) or -ENOMEM.
 */
int store_perform_request (store_t *store, const store_request_t *request,
                           store_response_t *response);
void store_response_clear (store_response_t *response);

/* Sets the message that store_get_error() returns.  Return: @err.  */
int store_set_error (store_t *store, int err, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * store_object_target() - format the request target of one object
 * @name: name of the object
 *
 * Return: the target, which the caller frees, or NULL when out of memory.
 */
char *store_object_target (const char *name);

/* Formats the request target that lists the objects changed after the revision
   @since.  Return: the target, which the caller frees, or NULL when out of
   memory.  */
char *store_list_target (const char *prefix, uint64_t since);

/**
 * store_parse_response() - parse the body of a response
 * @response: response with its body
 *
 * Return: the JSON object, which json_object_put() releases, or NULL when the
 * body is not a JSON object or memory is exhausted.
 */
json_object *store_parse_response (const store_response_t *response);

/* Reads a member that is an integer of at least 0.  Return: false when @json
   has no such member; @number is unchanged then.  */
bool store_json_get_number (json_object *json, const char *name,
                            uint64_t *number);

/* Return: the value of a string member, the JSON text of a member of another
   type, or an empty string when the member is absent or null.  The text
   belongs to @json.  */
const char *store_json_get_text (json_object *json, const char *name);

/**
 * store_parse_object() - check and read an object of the API
 * @store: client, for the error message
 * @json: JSON form of the object
 * @object: set on success; its strings belong to @json
 *
 * Return: 0, -EPROTO, or -EMSGSIZE for a body above STORE_VALUE_MAX_BYTES.
 */
int store_parse_object (store_t *store, json_object *json,
                        store_object_t *object);

/* Returns the time of CLOCK_BOOTTIME in milliseconds.  */
clock_ms_t store_now_ms (void);

#endif
