#ifndef PERIDOT_NET_CALL_H
#define PERIDOT_NET_CALL_H

/* HTTP client for calls with small bodies: one connection, one call at a
   time, on an event loop.  */

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

typedef struct call_client call_client_t;

/**
 * call_done_t - a call ended
 * @status: HTTP status, or a negative errno: -ETIMEDOUT, -ECONNRESET,
 *   -EPROTO, ...; the call may have been executed all the same
 */
typedef void (*call_done_t) (void *context, int status, const char *body,
                             size_t length);

call_client_t *call_client_new (struct ev_loop *loop,
                                const struct sockaddr_in *address);
void call_client_free (call_client_t *client);

bool call_is_busy (const call_client_t *client);

/**
 * call_send() - start a call; the client must not be busy
 * @body: NULL: none
 * @timeout: ms for the whole call
 *
 * The result comes through @done, never before call_send() returns.
 */
void call_send (call_client_t *client, const char *method, const char *target,
                const char *body, clock_ms_t timeout, call_done_t done,
                void *context);

/* Ends a call without calling its callback; its connection is closed.  */
void call_cancel (call_client_t *client);

#endif
