#ifndef PERIDOT_NET_CALL_H
#define PERIDOT_NET_CALL_H

/* HTTP client for requests with small bodies.  A client has one persistent
   connection and runs one call (a request and its response) at a time on an
   event loop.  */

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

typedef struct call_client call_client_t;

/**
 * call_callback_t - called once when a call has ended
 * @context: the pointer given to call_send()
 * @status: HTTP status, or a negative errno: -ETIMEDOUT, -ECONNRESET,
 *   -EPROTO, ...  After an error the server may have executed the request all
 *   the same.
 * @body: response body, valid during the callback and not NUL-terminated;
 *   after an error, the part that was received
 * @length: bytes in @body
 */
typedef void (*call_callback_t) (void *context, int status, const char *body,
                                 size_t length);

/* Creates a client; the connection is opened by the first call.  */
call_client_t *call_client_new (struct ev_loop *loop,
                                const struct sockaddr_in *address);
/* Cancels a call in progress and frees the client.  */
void call_client_free (call_client_t *client);

/* Selects the header field of responses that call_get_field() returns.  @name:
   not copied.  */
void call_select_field (call_client_t *client, const char *name);
/* Returns the value of the selected field in the response of the last call,
   valid until the next call.  "": the response has no such field, or there was
   no response.  NULL: it has several.  */
const char *call_get_field (const call_client_t *client);

/* Whether a call is in progress.  */
bool call_is_busy (const call_client_t *client);

/**
 * call_send() - start a call; the client must not be busy
 * @target: path and query of the request
 * @body: JSON request body; NULL: none
 * @timeout: longest duration of the whole call in ms
 * @callback: receives the result, never before call_send() has returned
 * @context: passed to @callback
 */
void call_send (call_client_t *client, const char *method, const char *target,
                const char *body, clock_ms_t timeout, call_callback_t callback,
                void *context);

/* Ends a call in progress without calling its callback, and closes the
   connection.  */
void call_cancel (call_client_t *client);

#endif
