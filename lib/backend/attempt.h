#ifndef PERIDOT_BACKEND_ATTEMPT_H
#define PERIDOT_BACKEND_ATTEMPT_H

/* Internal: state of a running attempt.  */

#include "pool.h"

/* Why this process aborted the attempt.  */
typedef enum abort_reason
{
  ABORT_NONE,
  ABORT_CANCELLED,
  ABORT_TOO_LATE, /* start_by or the deadline passed before sending */
  ABORT_TIMEOUT, /* the deadline or first_byte_deadline passed after sending */
  ABORT_MALFORMED /* end of the response unknown, or header too large */
} abort_reason_t;

typedef struct attempt
{
  backend_pool_t *pool;
  const backend_request_t *request;
  backend_result_t *result;
  backend_conn_t *conn;
  bool pooled;      /* the request uses a connection from the pool */
  int64_t begin_us; /* time of the call, CLOCK_BOOTTIME */
  int64_t sent_us;  /* time of sending, CLOCK_BOOTTIME */
  abort_reason_t abort_reason;
  bool head_complete;
  /* The backend server rejected the request without running it.  */
  bool shed;
  /* The backend server closes the connection after the response.  */
  bool closes_connection;
  uint32_t header_bytes;
  /* Body bytes discarded from the response by which the request was shed.  */
  uint32_t discarded_bytes;
  struct curl_slist *headers;
  struct curl_slist deadline_header; /* head of the list of headers */
  char deadline_text[64];
  char error[CURL_ERROR_SIZE];
} attempt_t;

/* headers.c */

/* Return: whether HTTP allows the name and the value.  */
bool backend_header_is_valid (const backend_header_t *header);
/* Return: whether address, method, path and headers are well-formed.  */
bool backend_request_is_valid (const backend_request_t *request);

/**
 * backend_headers_build() - build the list of request headers
 * @attempt: holds the list until backend_headers_clear()
 *
 * Return: 0 or -ENOMEM.
 */
int backend_headers_build (attempt_t *attempt);
/* Frees the list of request headers.  */
void backend_headers_clear (attempt_t *attempt);

/* Sets the Request-Deadline-Ms header to the time left at @now_us.  */
void backend_headers_set_time_left (attempt_t *attempt, int64_t now_us);

/* answer.c: libcurl callbacks for header lines and body data.  @context is the
   attempt; a return value other than the length aborts the transfer.  */
size_t backend_on_header (char *data, size_t size, size_t count,
                          void *context);
size_t backend_on_data (char *data, size_t size, size_t count, void *context);

#endif
