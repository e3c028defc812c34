#ifndef PERIDOT_BACKEND_H
#define PERIDOT_BACKEND_H

/* HTTP/1.1 client for backend servers, based on libcurl.  Each call sends one
   request to one backend server and blocks the calling thread.  All functions
   may be called by any thread, and threads may share a connection pool.
   Times are CLOCK_BOOTTIME in ms.  */

#include "decide.h"

typedef struct backend_pool backend_pool_t;

typedef struct backend_options
{
  /* Limit of idle connections per endpoint; 0 selects 32.  */
  uint32_t idle_max;
  /* Time in ms after which idle connections are closed; 0 selects 10,000.  */
  clock_ms_t idle_timeout_ms;
  /* Size limit of a response header; 0 selects 32 KiB.  */
  uint32_t header_max_bytes;
} backend_options_t;

typedef struct backend_header
{
  const char *name;
  const char *value;
} backend_header_t;

/* Status and headers of a response, valid during the callback only.  */
typedef struct backend_response_head
{
  uint32_t status;
  int64_t content_length; /* bytes; -1 for a chunked body */
  /* End-to-end headers as received.  Connection, Keep-Alive,
     Transfer-Encoding, Content-Length, Trailer and Upgrade are removed.  */
  size_t header_count;
  const backend_header_t *headers;
} backend_response_head_t;

typedef struct backend_request
{
  const char *address; /* IP:PORT or [IP6]:PORT */
  const char *method;
  const char *path; /* path and query; starts with a slash */
  /* Headers to forward.  Host, Content-Length, Expect, Request-Timeout-Ms,
     hop-by-hop headers and headers that the library sets from the members
     below are left out.  */
  size_t header_count;
  const backend_header_t *headers;
  const char *idempotency_key; /* or NULL */
  const char *traceparent;     /* or NULL */
  const char *range;           /* value of Range, or NULL */
  const char *if_range;        /* value of If-Range, or NULL */
  const void *body;
  size_t body_length;
  /* Latest time to send the request.  */
  clock_ms_t start_by;
  /* Latest time of the first byte of the response; 0 if there is none.  */
  clock_ms_t first_byte_deadline;
  /* Latest time of the end of the response.  */
  clock_ms_t deadline;
  bool idempotent;     /* may be sent again after a closed connection */
  bool new_connection; /* don't use a pooled connection */
  /* If the backend server has closed the pooled connection, don't open a new
     one, because the server may have restarted.  */
  bool no_reconnect;
  /* Descriptor, for example an eventfd, that becomes readable when the attempt
     is to be cancelled; -1 if there is none.  */
  int cancel_fd;
  void *context;
  /* Returns whether the attempt is to be cancelled.  It is called at least
     every 20 ms while the attempt waits, and before sending; may be NULL.  */
  bool (*cancelled) (void *context);
  /* Called once with the response head, unless the backend server has shed the
     request; may be NULL.  A negative return value cancels the attempt.  */
  int (*on_head) (void *context, const backend_response_head_t *head);
  /* Called for each part of the body as it arrives; may be NULL.  A negative
     return value cancels the attempt.  */
  int (*on_body) (void *context, const void *data, size_t length);
} backend_request_t;

typedef struct backend_result
{
  /* Outcome; its latency_ms is the time from sending to the first byte,
     rounded up, or with DECIDE_ATTEMPT_CLOSED the time for which the
     connection was idle.  */
  decide_attempt_end_t end;
  int64_t latency_us;  /* from sending to the first byte; 0 if none arrived */
  int64_t connect_us;  /* time from the call to sending in us */
  bool sent;           /* a byte of the request may have been sent */
  bool first_byte;     /* a byte of a response arrived */
  bool reused;         /* sent on a pooled connection */
  bool head_delivered; /* on_head was called */
  uint32_t resends;    /* how often an idempotent request was sent again on a
                          new connection because a pooled one was closed */
  uint64_t body_bytes; /* body bytes received; 0 if the request was shed */
  char error[128];     /* error message, or empty */
} backend_result_t;

typedef struct backend_stats
{
  uint64_t attempts;
  uint64_t connections; /* connections opened */
  uint64_t reused;      /* attempts on a pooled connection */
  uint64_t resends;     /* idempotent requests sent again */
  /* Requests that were not sent again on a new connection because they are not
     idempotent or set no_reconnect.  */
  uint64_t resends_refused;
  /* Idle connections dropped after a request to the endpoint timed out.  */
  uint64_t dropped_after_timeout;
  uint64_t expired; /* idle connections closed by the idle timeout */
  /* Idle connections dropped because the server had closed one of them.  */
  uint64_t closed_by_server;
  uint64_t idle; /* current number of idle connections */
} backend_stats_t;

/**
 * backend_pool_new() - create a connection pool
 * @options: limits, or NULL for the defaults
 *
 * Initialises libcurl: no other thread may use libcurl during the first call.
 *
 * Return: the pool, or NULL when out of memory or if libcurl can't be
 * initialised.
 */
backend_pool_t *backend_pool_new (const backend_options_t *options);

/* Closes all connections.  No attempt may be running; NULL is allowed.  */
void backend_pool_free (backend_pool_t *pool);

/* Closes connections that exceed the idle timeout.  Attempts do this as well,
   so that a timer needs to call it only for periods without attempts.  */
void backend_pool_close_idle (backend_pool_t *pool);

/* Writes the counters of the pool to @stats.  */
void backend_pool_get_stats (backend_pool_t *pool, backend_stats_t *stats);

/**
 * backend_attempt() - run one attempt and wait for its end
 * @pool: connection pool
 * @request: request and its destination; must not change during the call
 * @result: outcome of the attempt; always set
 *
 * The result is DECIDE_ATTEMPT_NOT_SENT only if no byte of the request was
 * sent, DECIDE_ATTEMPT_SHED only if the backend server reported that the
 * request did not run, and DECIDE_ATTEMPT_ANSWERED only if the response is
 * complete.  A response that is truncated, whose end can't be determined or
 * whose header is too large gives DECIDE_ATTEMPT_BROKEN.  A failure after
 * sending and before the end of the header gives DECIDE_ATTEMPT_RESET.  A
 * timeout after sending, also during the body, gives DECIDE_ATTEMPT_TIMEOUT.
 * With no_reconnect, DECIDE_ATTEMPT_CLOSED means that the backend server had
 * closed a pooled connection, and DECIDE_ATTEMPT_UNUSED that another attempt
 * is opening the first connection; nothing was sent.
 *
 * Return: 0 if @result holds the outcome; -EINVAL for a malformed request or
 * -ENOMEM, and then nothing was sent.
 */
int backend_attempt (backend_pool_t *pool, const backend_request_t *request,
                     backend_result_t *result);

/**
 * backend_probe() - send GET /load to an endpoint on a new connection
 * @pool: connection pool
 * @address: IP:PORT
 * @timeout_ms: timeout in ms
 * @load: the reported load; present is false on failure
 * @latency_ms: time from sending to the first byte in ms; may be NULL
 *
 * Return: 0, -ETIMEDOUT, -ECONNREFUSED (not sent), -EIO (reset, truncated or
 * a status other than 200), -EPROTO (not a load report), -EINVAL or -ENOMEM.
 */
int backend_probe (backend_pool_t *pool, const char *address,
                   clock_ms_t timeout_ms, decide_load_t *load,
                   clock_ms_t *latency_ms);

/**
 * backend_load_parse() - parse the value of a Server-Load header
 * @value: value of the header
 * @load: the reported load; present is false on failure
 *
 * Return: 0, or -EPROTO if a known field is missing or malformed.
 */
int backend_load_parse (const char *value, decide_load_t *load);

#endif
