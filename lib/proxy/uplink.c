/* Connections from this instance to endpoints, called uplinks, and the pools
   of idle connections.  */

#include "proxy_private.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

/* Largest number of bytes that one read from a connection returns.  */
#define READ_SIZE_BYTES 16384
/* A connection is closed when this many bytes were received on it and none of
   them is known to belong to a response that can be forwarded.  Larger than a
   buffered response and a late response to an earlier request together.  */
#define UNUSABLE_RESPONSE_MAX_BYTES (1 << 20)
/* Largest number of idle connections in the pool of one endpoint.  */
#define IDLE_CONNECTIONS_MAX 3
/* Idle timeout that is assumed for an endpoint that states none.  */
#define IDLE_TIMEOUT_DEFAULT_MS 7000
/* A connection is reused only within this share of the endpoint's idle
   timeout, so that no request is sent while the endpoint closes the
   connection.  */
#define IDLE_TIMEOUT_SHARE 0.7

static uplink_t *uplink_new (proxy_t *proxy, backend_t *backend, int *error);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timeout (struct ev_loop *loop, ev_timer *watcher, int events);
static void fail_uplink (uplink_t *uplink, const char *why);
static ssize_t send_rest (const uplink_t *uplink);
static void handle_connection_end (uplink_t *uplink, int error);
static const char *describe_parse_failure (const uplink_t *uplink,
                                           enum http_errno error);
static bool is_response_endless (uplink_t *uplink, size_t received_bytes);

pool_t *
pool_get (proxy_t *proxy, backend_handle_t handle)
{
  pool_t *pool;

  while (proxy->pools->len <= handle.index)
    g_ptr_array_add (proxy->pools, g_new0 (pool_t, 1));
  pool = g_ptr_array_index (proxy->pools, handle.index);
  if (pool->generation != handle.generation)
    {
      while (pool->idle.head != NULL)
        uplink_close (pool->idle.head->data);
      pool->generation = handle.generation;
      pool->open_count = 0;
    }
  return pool;
}

void
pools_close_expired (proxy_t *proxy, clock_ms_t now)
{
  for (guint i = 0; i < proxy->pools->len; i++)
    {
      pool_t *pool = g_ptr_array_index (proxy->pools, i);
      backend_handle_t handle = { .index = i, .generation = pool->generation };
      bool endpoint_removed = backends_get (proxy->backends, handle) == NULL;

      for (GList *link = pool->idle.head; link != NULL;)
        {
          uplink_t *uplink = link->data;

          link = link->next;
          if (endpoint_removed || now >= uplink->idle_until)
            uplink_close (uplink);
        }
    }
}

void
pools_free (proxy_t *proxy)
{
  for (guint i = 0; i < proxy->pools->len; i++)
    {
      pool_t *pool = g_ptr_array_index (proxy->pools, i);

      while (pool->idle.head != NULL)
        uplink_close (pool->idle.head->data);
      g_free (pool);
    }
  g_ptr_array_free (proxy->pools, TRUE);
}

static uplink_t *
uplink_new (proxy_t *proxy, backend_t *backend, int *error)
{
  int fd = socket_connect (&backend->entry.address);
  uplink_t *uplink;

  *error = MIN (fd, 0);
  if (fd < 0)
    return NULL;
  uplink = g_new0 (uplink_t, 1);
  uplink->proxy = proxy;
  uplink->backend = backends_get_handle (proxy->backends, backend);
  uplink->fd = fd;
  uplink->state = UPLINK_CONNECTING;
  uplink->out = g_byte_array_new ();
  uplink->field_name = g_string_new (NULL);
  uplink->field_value = g_string_new (NULL);
  uplink->link.data = uplink;
  uplink->is_reading = true;
  ev_io_init (&uplink->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&uplink->write_watcher, on_writable, fd, EV_WRITE);
  ev_init (&uplink->timer, on_timeout);
  uplink->read_watcher.data = uplink;
  uplink->write_watcher.data = uplink;
  uplink->timer.data = uplink;
  pool_get (proxy, uplink->backend)->open_count++;
  g_ptr_array_add (proxy->uplinks, uplink);
  telemetry_counter_increment (TELEMETRY_UPLINKS_OPENED, 0);
  return uplink;
}

uplink_t *
uplink_acquire (proxy_t *proxy, backend_t *backend, int *error)
{
  backend_handle_t handle = backends_get_handle (proxy->backends, backend);
  pool_t *pool = pool_get (proxy, handle);
  const service_t *service
      = backends_service_get (proxy->backends, backend->service);
  int open_max
      = service->connections_max > 0
            ? MAX (2, service->connections_max / proxy->instance_count)
            : INT16_MAX;
  clock_ms_t now = clock_now ();
  uplink_t *uplink;

  while ((uplink = g_queue_peek_head (&pool->idle)) != NULL)
    {
      if (now < uplink->idle_until)
        {
          g_queue_unlink (&pool->idle, &uplink->link);
          return uplink;
        }
      uplink_close (uplink);
    }
  if (pool->open_count >= open_max
      || (proxy->settings.uplinks_max > 0
          && proxy->uplinks->len >= proxy->settings.uplinks_max))
    {
      *error = -EBUSY;
      return NULL;
    }
  return uplink_new (proxy, backend, error);
}

void
uplink_probe (proxy_t *proxy, backend_t *backend)
{
  int error;
  uplink_t *uplink = uplink_new (proxy, backend, &error);

  if (uplink != NULL)
    probe_start (uplink, NULL);
}

void
uplink_send (uplink_t *uplink)
{
  uplink->sent_bytes = 0;
  uplink->body_bytes
      = uplink->request != NULL ? uplink->request->exchange->body->len : 0;
  uplink->received_bytes = 0;
  uplink->is_reading = true;
  uplink_begin_response (uplink);
  ev_io_start (uplink->proxy->loop, &uplink->read_watcher);
  if (uplink->fd >= 0)
    ev_io_start (uplink->proxy->loop, &uplink->write_watcher);
}

bool
uplink_has_sent_all (const uplink_t *uplink)
{
  return uplink->sent_bytes == uplink->out->len + uplink->body_bytes;
}

void
uplink_release (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  pool_t *pool;
  clock_ms_t idle = uplink->keep_alive_ms > 0 ? uplink->keep_alive_ms
                                              : IDLE_TIMEOUT_DEFAULT_MS;

  uplink->request = NULL;
  uplink->round = NULL;
  ev_timer_stop (proxy->loop, &uplink->timer);
  if (uplink->is_closed)
    return;
  if (backend == NULL || !uplink->is_reusable || !uplink_has_sent_all (uplink))
    {
      uplink_close (uplink);
      return;
    }
  pool = pool_get (proxy, uplink->backend);
  if (pool->idle.length >= IDLE_CONNECTIONS_MAX)
    {
      uplink_close (uplink);
      return;
    }
  uplink->state = UPLINK_IDLE;
  uplink->idle_until
      = clock_now () + (clock_ms_t)((double)idle * IDLE_TIMEOUT_SHARE);
  g_queue_push_head_link (&pool->idle, &uplink->link);
  /* The connection is watched while it is idle: it must be closed when the
     endpoint closes it or sends unexpected data.  */
  ev_io_start (proxy->loop, &uplink->read_watcher);
}

/* Frees the connections that were closed since the last iteration of the event
   loop.  uplink_close() does not free them, because functions further up the
   call stack may still use them.  */
void
uplinks_free_closed (proxy_t *proxy)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&proxy->closed_uplinks)) != NULL)
    {
      uplink_t *uplink = link->data;

      response_clear (&uplink->response);
      g_byte_array_free (uplink->out, TRUE);
      g_string_free (uplink->field_name, TRUE);
      g_string_free (uplink->field_value, TRUE);
      g_free (uplink);
    }
}

void
uplink_close (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  pool_t *pool;

  if (uplink->is_closed)
    return;
  uplink->is_closed = true;
  ev_io_stop (proxy->loop, &uplink->read_watcher);
  ev_io_stop (proxy->loop, &uplink->write_watcher);
  ev_timer_stop (proxy->loop, &uplink->timer);
  close (uplink->fd);
  response_release_buffer (uplink);
  pool = g_ptr_array_index (proxy->pools, uplink->backend.index);
  if (uplink->state == UPLINK_IDLE)
    g_queue_unlink (&pool->idle, &uplink->link);
  if (pool->generation == uplink->backend.generation)
    pool->open_count--;
  (void)g_ptr_array_remove_fast (proxy->uplinks, uplink);
  g_queue_push_tail_link (&proxy->closed_uplinks, &uplink->link);
  uplink->request = NULL;
  uplink->round = NULL;
}

void
uplink_pause (uplink_t *uplink, bool paused)
{
  uplink->is_reading = !paused;
  if (paused)
    ev_io_stop (uplink->proxy->loop, &uplink->read_watcher);
  else
    ev_io_start (uplink->proxy->loop, &uplink->read_watcher);
}

/* Reports the failure of a connection to its request or round of probes, and
   closes the connection.  */
static void
fail_uplink (uplink_t *uplink, const char *why)
{
  if (uplink->request != NULL)
    {
      request_t *request = uplink->request;

      request_handle_attempt_failure (
          request, uplink,
          uplink->sent_bytes == 0 ? FAILURE_NOT_RUN : FAILURE_MAY_HAVE_RUN,
          why);
    }
  else if (uplink->state == UPLINK_PROBING
           || uplink->state == UPLINK_CONNECTING
           || uplink->state == UPLINK_HELD)
    probe_handle_failure (uplink, why);
  uplink_close (uplink);
}

/* Sends as much as the socket takes of what was not sent yet.  The body is
   sent from the client's request, without a copy.  Return: as for send().  */
static ssize_t
send_rest (const uplink_t *uplink)
{
  size_t head_sent = MIN (uplink->sent_bytes, uplink->out->len);
  size_t body_sent = uplink->sent_bytes - head_sent;
  struct iovec parts[2] = { { .iov_base = uplink->out->data + head_sent,
                              .iov_len = uplink->out->len - head_sent } };
  struct msghdr message = { .msg_iov = parts, .msg_iovlen = 1 };

  if (uplink->body_bytes > 0 && uplink->request != NULL)
    {
      parts[1]
          = (struct iovec){ .iov_base = uplink->request->exchange->body->data
                                        + body_sent,
                            .iov_len = uplink->body_bytes - body_sent };
      message.msg_iovlen = 2;
    }
  return sendmsg (uplink->fd, &message, MSG_NOSIGNAL);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  uplink_t *uplink = watcher->data;
  ssize_t n;

  (void)events;
  if (uplink->state == UPLINK_CONNECTING)
    {
      int error = socket_connect_result (uplink->fd);

      if (error != 0)
        {
          handle_connection_end (uplink, -error);
          return;
        }
      uplink->state
          = uplink->request != NULL ? UPLINK_RUNNING : UPLINK_PROBING;
    }
  n = send_rest (uplink);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      fail_uplink (uplink, g_strerror (errno));
      return;
    }
  if (n > 0)
    uplink->sent_bytes += (size_t)n;
  if (uplink_has_sent_all (uplink))
    ev_io_stop (loop, &uplink->write_watcher);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  uplink_t *uplink = watcher->data;
  char data[READ_SIZE_BYTES];
  ssize_t n = recv (uplink->fd, data, sizeof data, 0);
  size_t parsed_bytes = 0;

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      handle_connection_end (uplink, n < 0 ? errno : 0);
      return;
    }
  if (uplink->state == UPLINK_IDLE || uplink->state == UPLINK_HELD
      || uplink->sent_bytes == 0)
    {
      fail_uplink (uplink, "unexpected data from the endpoint");
      return;
    }
  if (is_response_endless (uplink, (size_t)n))
    {
      telemetry_counter_increment (TELEMETRY_ENDLESS_RESPONSES, 0);
      fail_uplink (uplink, "too many bytes that are no usable response");
      return;
    }
  while (parsed_bytes < (size_t)n && !uplink->is_closed)
    {
      enum http_errno error;

      parsed_bytes += http_parser_execute (
          &uplink->parser, &uplink_parser_settings, data + parsed_bytes,
          (size_t)n - parsed_bytes);
      error = HTTP_PARSER_ERRNO (&uplink->parser);
      if (error == HPE_PAUSED)
        http_parser_pause (&uplink->parser, 0);
      else if (error != HPE_OK)
        {
          if (uplink->is_oversized)
            telemetry_counter_increment (TELEMETRY_ENDLESS_RESPONSES, 0);
          fail_uplink (uplink, describe_parse_failure (uplink, error));
          break;
        }
      if (uplink->response_complete)
        {
          /* Bytes after the response belong to no request, so the connection
             must not be reused.  */
          if (parsed_bytes < (size_t)n)
            uplink->is_reusable = false;
          if (uplink->state == UPLINK_PROBING)
            probe_handle_response (uplink);
          else if (uplink->request != NULL)
            request_handle_response (uplink->request, uplink);
          break;
        }
      /* Nothing of such a response is for the client, so that its end need not
         be awaited.  */
      if (uplink_has_unconfirmed_refusal (uplink))
        {
          uplink->is_reusable = false;
          request_handle_response (uplink->request, uplink);
          break;
        }
    }
}

static const char *
describe_parse_failure (const uplink_t *uplink, enum http_errno error)
{
  if (uplink->is_oversized)
    return "no memory for the response";
  if (uplink->is_malformed)
    return "malformed head of the response";
  return http_errno_name (error);
}

/* Counts received bytes.  Return: whether they are more than a response that
   is not being streamed to a client may have.  */
static bool
is_response_endless (uplink_t *uplink, size_t received_bytes)
{
  if (uplink->request != NULL && uplink->request->state == REQUEST_STREAMING)
    return false;
  uplink->received_bytes += received_bytes;
  return uplink->received_bytes > UNUSABLE_RESPONSE_MAX_BYTES;
}

/* Handles the end of a connection: an orderly close (@error is 0) or a failure
   such as a connection reset (@error is an errno).  An orderly close may mark
   the end of a response without a stated length; a failure never does.  */
static void
handle_connection_end (uplink_t *uplink, int error)
{
  uplink->was_refused
      = uplink->state == UPLINK_CONNECTING && error == ECONNREFUSED;
  if (error == 0 && uplink->state == UPLINK_RUNNING && uplink->request != NULL)
    {
      (void)http_parser_execute (&uplink->parser, &uplink_parser_settings,
                                 NULL, 0);
      uplink->is_reusable = false;
      if (uplink->response_complete && !uplink->is_closed)
        {
          request_handle_response (uplink->request, uplink);
          return;
        }
    }
  if (uplink->state == UPLINK_RUNNING && uplink->request != NULL
      && uplink_has_sent_all (uplink) && uplink->received_bytes == 0)
    suspicion_accuse (uplink->request, uplink);
  if (!uplink->is_closed)
    fail_uplink (uplink,
                 error == 0 ? "closed by the endpoint" : g_strerror (error));
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  uplink_t *uplink = watcher->data;

  (void)loop;
  (void)events;
  fail_uplink (uplink, "no answer in time");
}
