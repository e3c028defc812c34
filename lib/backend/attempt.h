#ifndef PERIDOT_BACKEND_ATTEMPT_H
#define PERIDOT_BACKEND_ATTEMPT_H

/* Internal: one attempt while it runs.  */

#include "pool.h"

/* Why the attempt was ended from this side.  */
typedef enum stop
{
  STOP_NONE,
  STOP_CANCELLED,
  STOP_LATE,     /* start_by or the deadline passed before sending */
  STOP_TIMEOUT,  /* the deadline, or first_byte_by, passed after sending */
  STOP_MALFORMED /* no framing, contradictory framing, header too large */
} stop_t;

typedef struct attempt
{
  backend_pool_t *pool;
  const backend_request_t *request;
  backend_result_t *result;
  conn_t *conn;
  bool pooled; /* the connection came from the pool */
  int64_t begin_us;
  int64_t sent_us;
  stop_t stop;
  bool head_complete;
  bool shed;
  bool closes; /* the backend server closes the connection */
  uint32_t header_bytes;
  uint32_t discarded; /* bytes of a shed's body */
  struct curl_slist *headers;
  struct curl_slist deadline_line; /* first in the list */
  char deadline_text[64];
  char error[CURL_ERROR_SIZE];
} attempt_t;

/* headers.c */

/* Return: whether method, path and headers are well-formed.  */
bool backend_request_check (const backend_request_t *request);

/**
 * backend_headers_add() - make the list of request headers
 * @attempt: the list is put into it and ended by backend_headers_clear()
 * Return: 0 or -ENOMEM.
 */
int backend_headers_add (attempt_t *attempt);
void backend_headers_clear (attempt_t *attempt);

/* Writes the time left at @now_us into the deadline's header line.  */
void backend_headers_set_left (attempt_t *attempt, int64_t now_us);

/* answer.c: callbacks of libcurl with the attempt as context.  */
size_t backend_on_header (char *data, size_t size, size_t count,
                          void *context);
size_t backend_on_data (char *data, size_t size, size_t count, void *context);

#endif
