#ifndef PERIDOT_ANSWER_H
#define PERIDOT_ANSWER_H

/* Writes a response to a client: the response of a backend server, passed on
   as it arrives, a recorded response, or a problem document.  */

#include <civetweb.h>

#include "backend.h"
#include "caller.h"
#include "decide.h"

/* Response to one request of a client, and how much of it has been written. */
typedef struct response
{
  client_t client;
  clock_ms_t write_deadline; /* time in ms at which writing fails: deadline of
                                the attempt that writes the response */
  const char *request_id;    /* Request-Id of the client, sent back; or NULL */
  const char *addresses; /* JSON list of the instances to use instead, for a
                            problem document; or NULL */
  bool close_connection; /* the connection is closed after this response */
  bool no_body;          /* response to HEAD, or status 204 or 304 */
  bool head_sent;        /* writing the head was begun */
  bool chunked;
  bool write_failed; /* writing to the client failed */
  uint32_t status;
  int64_t body_length; /* in bytes, -1 when not known */
  int64_t bytes_sent;  /* bytes of the body written so far */
  char etag[128];      /* strong entity tag, or empty */
  bool record_body;    /* save the body, for the request's idempotency key */
  bool too_large_to_record; /* more than DECIDE_RESPONSE_MAX_BYTES bytes */
  decide_response_t response_to_record; /* copy of the response so far */
} response_t;

/**
 * response_start() - write the head of a response
 * Return: 0, or -EPIPE when writing failed.
 */
int response_start (response_t *response, const backend_response_head_t *head);

/**
 * response_check_continuation() - check the head that another attempt received
 *
 * When a response was interrupted, another attempt requests the rest of the
 * body as a range.
 *
 * Return: 0, or -EPROTO when @head is not that of the missing range of the
 *   same entity.
 */
int response_check_continuation (const response_t *response,
                                 const backend_response_head_t *head);

/* Whether an interrupted response can be continued with a range request.  */
bool response_can_resume (const response_t *response);

/**
 * response_write_body() - write a part of the body
 *
 * When the client reads too slowly for the attempt's deadline, writing fails
 * as if the client had disconnected.  The response is not resumed by another
 * attempt, which would occupy a second slot of an endpoint.
 *
 * Return: 0 or -EPIPE.
 */
int response_write_body (response_t *response, const void *data,
                         size_t length);

/* Ends the body.  Return: whether the whole response has been written.  */
bool response_finish (response_t *response);

/* Writes the recorded response of an earlier request with the same idempotency
   key.  */
void response_write_recorded (response_t *response,
                              const decide_response_t *recorded_response);

/**
 * response_write_problem() - write a problem document (RFC 9457)
 * @type: URI reference of the problem type
 * @detail: explanation for people
 * @ran: whether an endpoint ran the request: "no" or "unknown"
 * @retry_after_ms: time until the client may retry, or 0 for no Retry-After
 *   header
 */
void response_write_problem (response_t *response, uint32_t status,
                             const char *type, const char *detail,
                             const char *ran, clock_ms_t retry_after_ms);

/* Writes a refusal by the decision library as a problem document.  */
void response_write_refusal (response_t *response,
                             const decide_refusal_t *refusal);

#endif
