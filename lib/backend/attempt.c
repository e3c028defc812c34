#include "attempt.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A non-idempotent request uses a pooled connection only if a response ended
   on it within this time, because an open connection can stop responding for
   good without being closed.  */
#define NON_IDEMPOTENT_REUSE_MAX_US 250000
#define CANCEL_POLL_INTERVAL_MS 20
/* Longest wait in one call of curl_multi_poll().  */
#define WAIT_MAX_MS 1000

static bool
is_cancelled (const attempt_t *attempt)
{
  const backend_request_t *request = attempt->request;

  return request->cancelled != NULL && request->cancelled (request->context);
}

static bool
may_resend (const backend_request_t *request)
{
  return request->idempotent && !request->no_reconnect;
}

/* libcurl calls this immediately before it sends the request, on a new or a
   pooled connection.  */
static int
on_before_send (void *context, char *peer_address, char *local_address,
                int peer_port, int local_port)
{
  attempt_t *attempt = context;
  const backend_request_t *request = attempt->request;
  backend_result_t *result = attempt->result;
  int64_t now_us = backend_now_us ();

  (void)peer_address;
  (void)local_address;
  (void)peer_port;
  (void)local_port;
  if (result->sent && !may_resend (request))
    {
      atomic_fetch_add (
          &backend_pool_get_counters (attempt->pool)->resends_refused, 1);
      return CURL_PREREQFUNC_ABORT;
    }
  /* The time is checked as late as possible, because the process may have
     been paused at any time since it got the grant to send.  */
  if (now_us / 1000 > request->start_by || now_us / 1000 >= request->deadline)
    {
      attempt->abort_reason = ABORT_TOO_LATE;
      return CURL_PREREQFUNC_ABORT;
    }
  if (is_cancelled (attempt))
    {
      attempt->abort_reason = ABORT_CANCELLED;
      return CURL_PREREQFUNC_ABORT;
    }
  backend_headers_set_time_left (attempt, now_us);
  attempt->sent_us = now_us;
  result->connect_us = now_us - attempt->begin_us;
  result->sent = true;
  return CURL_PREREQFUNC_OK;
}

/* libcurl calls this to open a socket.  If the request has been sent already,
   libcurl is about to send it again, because a pooled connection turned out to
   be closed.  */
static curl_socket_t
on_open_socket (void *context, curlsocktype purpose,
                struct curl_sockaddr *address)
{
  attempt_t *attempt = context;
  backend_result_t *result = attempt->result;
  backend_counters_t *counters = backend_pool_get_counters (attempt->pool);

  (void)purpose;
  if (result->sent && !may_resend (attempt->request))
    {
      atomic_fetch_add (&counters->resends_refused, 1);
      return CURL_SOCKET_BAD;
    }
  if (result->sent)
    {
      result->resends++;
      atomic_fetch_add (&counters->resends, 1);
    }
  atomic_fetch_add (&counters->connections, 1);
  attempt->pooled = false;
  return socket (address->family, address->socktype | SOCK_CLOEXEC,
                 address->protocol);
}

static void
set_method (CURL *easy, const backend_request_t *request)
{
  bool post = strcmp (request->method, "POST") == 0
              || strcmp (request->method, "PUT") == 0
              || strcmp (request->method, "PATCH") == 0;

  if (strcmp (request->method, "HEAD") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  if (post || request->body_length > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        request->body_length > 0 ? request->body : "");
    }
  else
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static int
set_options (attempt_t *attempt)
{
  const backend_request_t *request = attempt->request;
  CURL *easy = attempt->conn->easy;
  char url[DECIDE_ADDRESS_MAX + 16];

  if (snprintf (url, sizeof url, "http://%s/", request->address)
      >= (int)sizeof url)
    return -EINVAL;
  if (curl_easy_setopt (easy, CURLOPT_URL, url) != CURLE_OK
      || curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->path)
             != CURLE_OK)
    return -ENOMEM;
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, attempt->error);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, &attempt->deadline_header);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, backend_on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, backend_on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
  set_method (easy, request);
  return 0;
}

/* Return: the earliest time limit in ms that applies to the attempt in its
   present state.  The attempt is aborted if it makes no progress until
   then.  */
static clock_ms_t
get_time_limit_ms (const attempt_t *attempt)
{
  const backend_request_t *request = attempt->request;
  const backend_result_t *result = attempt->result;
  clock_ms_t limit = request->deadline;

  /* Sending at start_by is still allowed.  */
  if (!result->sent && request->start_by + 1 < limit)
    limit = request->start_by + 1;
  if (!result->first_byte && request->first_byte_deadline != 0
      && request->first_byte_deadline < limit)
    limit = request->first_byte_deadline;
  return limit;
}

/* Waits for data on the connection, a cancellation or the time limit.  Sets
   the abort reason in the latter two cases.  */
static void
wait_for_event (attempt_t *attempt)
{
  const backend_request_t *request = attempt->request;
  struct curl_waitfd cancel_waitfd
      = { .fd = request->cancel_fd, .events = CURL_WAIT_POLLIN };
  clock_ms_t wait_ms = get_time_limit_ms (attempt) - backend_now_us () / 1000;

  if (wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  if (request->cancelled != NULL && wait_ms > CANCEL_POLL_INTERVAL_MS)
    wait_ms = CANCEL_POLL_INTERVAL_MS;
  if (wait_ms > 0)
    curl_multi_poll (attempt->conn->multi, &cancel_waitfd,
                     request->cancel_fd >= 0, (int)wait_ms, NULL);
  if ((cancel_waitfd.revents & CURL_WAIT_POLLIN) != 0
      || is_cancelled (attempt))
    attempt->abort_reason = ABORT_CANCELLED;
  else if (backend_now_us () / 1000 >= get_time_limit_ms (attempt))
    attempt->abort_reason
        = attempt->result->sent ? ABORT_TIMEOUT : ABORT_TOO_LATE;
}

/* Runs the transfer.  Return: libcurl's result code;
   CURLE_ABORTED_BY_CALLBACK if this process aborted it.  */
static CURLcode
run_transfer (attempt_t *attempt)
{
  backend_conn_t *conn = attempt->conn;
  CURLcode code = CURLE_ABORTED_BY_CALLBACK;
  CURLMsg *msg;
  int running = 1;
  int messages_left;

  if (curl_multi_add_handle (conn->multi, conn->easy) != CURLM_OK)
    return CURLE_OUT_OF_MEMORY;
  for (;;)
    {
      if (curl_multi_perform (conn->multi, &running) != CURLM_OK)
        break;
      if (running == 0 || attempt->abort_reason != ABORT_NONE)
        break;
      wait_for_event (attempt);
      if (attempt->abort_reason != ABORT_NONE)
        break;
    }
  while ((msg = curl_multi_info_read (conn->multi, &messages_left)) != NULL)
    if (msg->msg == CURLMSG_DONE)
      code = msg->data.result;
  /* The socket can't be queried once the handle is removed.  */
  if (curl_easy_getinfo (conn->easy, CURLINFO_ACTIVESOCKET, &conn->fd)
      != CURLE_OK)
    conn->fd = CURL_SOCKET_BAD;
  curl_multi_remove_handle (conn->multi, conn->easy);
  return code;
}

static decide_attempt_result_t
classify_result (const attempt_t *attempt, CURLcode code)
{
  if (attempt->abort_reason == ABORT_CANCELLED)
    return DECIDE_ATTEMPT_CANCELLED;
  if (!attempt->result->sent)
    return DECIDE_ATTEMPT_NOT_SENT;
  if (attempt->shed)
    return DECIDE_ATTEMPT_SHED;
  if (attempt->abort_reason == ABORT_TIMEOUT)
    return DECIDE_ATTEMPT_TIMEOUT;
  if (attempt->abort_reason == ABORT_MALFORMED || attempt->head_complete)
    return code == CURLE_OK && attempt->abort_reason == ABORT_NONE
               ? DECIDE_ATTEMPT_ANSWERED
               : DECIDE_ATTEMPT_BROKEN;
  if (code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL)
    return DECIDE_ATTEMPT_BROKEN;
  return DECIDE_ATTEMPT_RESET;
}

static void
set_error_message (const attempt_t *attempt, CURLcode code)
{
  static const char *const reasons[]
      = { NULL, "cancelled", "start time or deadline passed before sending",
          "timeout", "header too large, or end of the response unknown" };
  const char *cause = reasons[attempt->abort_reason];

  if (cause == NULL && code != CURLE_OK)
    cause = attempt->error[0] != '\0' ? attempt->error
                                      : curl_easy_strerror (code);
  if (cause != NULL)
    snprintf (attempt->result->error, sizeof attempt->result->error, "%.127s",
              cause);
}

static void
finish_attempt (attempt_t *attempt, CURLcode code)
{
  backend_result_t *result = attempt->result;
  const char *address = attempt->request->address;
  backend_counters_t *counters = backend_pool_get_counters (attempt->pool);

  result->end.result = classify_result (attempt, code);
  result->reused = result->sent && attempt->pooled;
  if (result->reused)
    atomic_fetch_add (&counters->reused, 1);
  set_error_message (attempt, code);
  if (attempt->abort_reason == ABORT_TIMEOUT && !result->first_byte)
    backend_pool_drop_after_timeout (attempt->pool, address, attempt->sent_us);
  if (code != CURLE_OK || attempt->abort_reason != ABORT_NONE
      || attempt->closes_connection || !attempt->head_complete
      || attempt->conn->fd == CURL_SOCKET_BAD)
    return;
  /* The options of the easy handle point to the attempt, and the connection
     outlives it.  */
  curl_easy_reset (attempt->conn->easy);
  backend_pool_put (attempt->pool, address, attempt->conn);
  attempt->conn = NULL;
}

int
backend_attempt (backend_pool_t *pool, const backend_request_t *request,
                 backend_result_t *result)
{
  attempt_t attempt = { .pool = pool, .request = request, .result = result };
  int64_t closed_idle_us = -1;
  bool pooled;
  int err;

  *result = (backend_result_t){ .end.result = DECIDE_ATTEMPT_NOT_SENT };
  if (!backend_request_is_valid (request))
    {
      snprintf (result->error, sizeof result->error, "malformed request");
      return -EINVAL;
    }
  atomic_fetch_add (&backend_pool_get_counters (pool)->attempts, 1);
  attempt.begin_us = backend_now_us ();
  if (request->no_reconnect)
    closed_idle_us = backend_pool_detect_restart (pool, request->address);
  if (closed_idle_us >= 0)
    {
      result->end.result = DECIDE_ATTEMPT_CLOSED;
      result->end.latency_ms = closed_idle_us / 1000;
      snprintf (result->error, sizeof result->error,
                "closed by the backend server while idle");
      return 0;
    }
  if (!request->new_connection)
    attempt.conn = backend_pool_take (
        pool, request->address,
        request->idempotent ? 0
                            : attempt.begin_us - NON_IDEMPOTENT_REUSE_MAX_US);
  attempt.pooled = attempt.conn != NULL;
  /* on_open_socket() may clear attempt.pooled; the end of the attempt must be
     registered with the same value as its start.  */
  pooled = attempt.pooled;
  if (!backend_pool_begin_attempt (pool, request->address, pooled,
                                   request->no_reconnect))
    {
      result->end.result = DECIDE_ATTEMPT_UNUSED;
      snprintf (result->error, sizeof result->error,
                "another attempt is opening the first connection");
      backend_conn_free (attempt.conn);
      return 0;
    }
  if (attempt.conn == NULL)
    attempt.conn = backend_conn_new ();
  err = attempt.conn == NULL ? -ENOMEM : backend_headers_build (&attempt);
  if (err == 0)
    err = set_options (&attempt);
  if (err == 0)
    finish_attempt (&attempt, run_transfer (&attempt));
  backend_pool_end_attempt (pool, request->address, pooled);
  backend_conn_free (attempt.conn);
  backend_headers_clear (&attempt);
  return err;
}
