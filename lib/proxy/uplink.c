/* Connections to endpoints.  */

#include "proxy_private.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

#define READ_SIZE 16384
/* Idle connections kept to one endpoint.  */
#define IDLE_KEPT 3
/* An idle connection is closed after it when the endpoint states no time.  */
#define IDLE_DEFAULT_MS 7000
/* Part of the endpoint's idle time for which a connection is reused, so that
   a request does not cross the endpoint's close.  */
#define IDLE_SHARE 0.7

static uplink_t *uplink_new (proxy_t *proxy, backend_t *backend, int *error);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void fail (uplink_t *uplink, const char *why);
static void end_of_input (uplink_t *uplink, int error);

pool_t *
pool_of (proxy_t *proxy, backend_ref_t ref)
{
  pool_t *pool;

  while (proxy->pools->len <= ref.index)
    g_ptr_array_add (proxy->pools, g_new0 (pool_t, 1));
  pool = g_ptr_array_index (proxy->pools, ref.index);
  if (pool->generation != ref.generation)
    {
      while (pool->idle.head != NULL)
        uplink_close (pool->idle.head->data);
      pool->generation = ref.generation;
      pool->open = 0;
    }
  return pool;
}

/* Closes idle connections that are too old or whose endpoint is gone.  */
void
pools_sweep (proxy_t *proxy, clock_ms_t now)
{
  for (guint i = 0; i < proxy->pools->len; i++)
    {
      pool_t *pool = g_ptr_array_index (proxy->pools, i);
      backend_ref_t ref = { .index = i, .generation = pool->generation };
      bool gone = backends_get (proxy->backends, ref) == NULL;

      for (GList *link = pool->idle.head; link != NULL;)
        {
          uplink_t *uplink = link->data;

          link = link->next;
          if (gone || now >= uplink->idle_until)
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
  uplink->backend = backends_ref (proxy->backends, backend);
  uplink->fd = fd;
  uplink->state = UPLINK_CONNECTING;
  uplink->out = g_byte_array_new ();
  uplink->name = g_string_new (NULL);
  uplink->value = g_string_new (NULL);
  uplink->link.data = uplink;
  uplink->reading = true;
  ev_io_init (&uplink->reader, on_readable, fd, EV_READ);
  ev_io_init (&uplink->writer, on_writable, fd, EV_WRITE);
  ev_init (&uplink->timer, on_timer);
  uplink->reader.data = uplink;
  uplink->writer.data = uplink;
  uplink->timer.data = uplink;
  pool_of (proxy, uplink->backend)->open++;
  g_ptr_array_add (proxy->uplinks, uplink);
  telemetry_count (TELEMETRY_UPLINKS_OPENED, 0);
  return uplink;
}

/* An idle connection, or a new one that is being set up.  */
uplink_t *
uplink_take (proxy_t *proxy, backend_t *backend, int *error)
{
  backend_ref_t ref = backends_ref (proxy->backends, backend);
  pool_t *pool = pool_of (proxy, ref);
  const service_t *service
      = backends_service_get (proxy->backends, backend->service);
  int open_max = service->connections_max > 0
                     ? MAX (2, service->connections_max / proxy->instances)
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
  if (pool->open >= open_max)
    {
      *error = -EBUSY;
      return NULL;
    }
  return uplink_new (proxy, backend, error);
}

/* Starts to send what is in the output.  */
void
uplink_send (uplink_t *uplink)
{
  uplink->sent = 0;
  uplink->reading = true;
  uplink_begin_answer (uplink);
  ev_io_start (uplink->proxy->loop, &uplink->reader);
  if (uplink->fd >= 0)
    ev_io_start (uplink->proxy->loop, &uplink->writer);
}

/* Gives a connection back to its pool, or closes it.  */
void
uplink_release (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  pool_t *pool;
  clock_ms_t idle
      = uplink->keep_alive > 0 ? uplink->keep_alive : IDLE_DEFAULT_MS;

  uplink->request = NULL;
  uplink->round = NULL;
  ev_timer_stop (proxy->loop, &uplink->timer);
  if (uplink->dead)
    return;
  if (backend == NULL || !uplink->keep || uplink->sent < uplink->out->len)
    {
      uplink_close (uplink);
      return;
    }
  pool = pool_of (proxy, uplink->backend);
  if (pool->idle.length >= IDLE_KEPT)
    {
      uplink_close (uplink);
      return;
    }
  uplink->state = UPLINK_IDLE;
  uplink->idle_until = clock_now () + (clock_ms_t)((double)idle * IDLE_SHARE);
  g_queue_push_head_link (&pool->idle, &uplink->link);
  /* Whatever arrives while it is idle ends it.  */
  ev_io_start (proxy->loop, &uplink->reader);
}

/* Frees the connections that were closed since the last turn of the loop;
   functions further up may still have worked on them before.  */
void
uplinks_free_dead (proxy_t *proxy)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&proxy->dead)) != NULL)
    {
      uplink_t *uplink = link->data;

      answer_clear (&uplink->answer);
      g_byte_array_free (uplink->out, TRUE);
      g_string_free (uplink->name, TRUE);
      g_string_free (uplink->value, TRUE);
      g_free (uplink);
    }
}

void
uplink_close (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  pool_t *pool;

  if (uplink->dead)
    return;
  uplink->dead = true;
  ev_io_stop (proxy->loop, &uplink->reader);
  ev_io_stop (proxy->loop, &uplink->writer);
  ev_timer_stop (proxy->loop, &uplink->timer);
  close (uplink->fd);
  pool = g_ptr_array_index (proxy->pools, uplink->backend.index);
  if (uplink->state == UPLINK_IDLE)
    g_queue_unlink (&pool->idle, &uplink->link);
  if (pool->generation == uplink->backend.generation)
    pool->open--;
  (void)g_ptr_array_remove_fast (proxy->uplinks, uplink);
  g_queue_push_tail_link (&proxy->dead, &uplink->link);
  uplink->request = NULL;
  uplink->round = NULL;
}

/* Stops reading while the caller does not take the answer.  */
void
uplink_pause (uplink_t *uplink, bool paused)
{
  uplink->reading = !paused;
  if (paused)
    ev_io_stop (uplink->proxy->loop, &uplink->reader);
  else
    ev_io_start (uplink->proxy->loop, &uplink->reader);
}

/* The connection is of no more use; tells whoever waits for it.  */
static void
fail (uplink_t *uplink, const char *why)
{
  if (uplink->request != NULL)
    {
      request_t *request = uplink->request;

      request_failed (request, uplink,
                      uplink->sent == 0 ? FAILURE_NOT_RUN : FAILURE_UNKNOWN,
                      why);
    }
  else if (uplink->state == UPLINK_PROBING
           || uplink->state == UPLINK_CONNECTING
           || uplink->state == UPLINK_HELD)
    probe_failed (uplink, why);
  uplink_close (uplink);
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
          fail (uplink, g_strerror (-error));
          return;
        }
      uplink->state
          = uplink->request != NULL ? UPLINK_RUNNING : UPLINK_PROBING;
    }
  n = send (uplink->fd, uplink->out->data + uplink->sent,
            uplink->out->len - uplink->sent, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      fail (uplink, g_strerror (errno));
      return;
    }
  if (n > 0)
    uplink->sent += (size_t)n;
  if (uplink->sent == uplink->out->len)
    ev_io_stop (loop, &uplink->writer);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  uplink_t *uplink = watcher->data;
  char data[READ_SIZE];
  ssize_t n = recv (uplink->fd, data, sizeof data, 0);
  size_t done = 0;

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      end_of_input (uplink, n < 0 ? errno : 0);
      return;
    }
  if (uplink->state == UPLINK_IDLE || uplink->state == UPLINK_HELD
      || uplink->sent == 0)
    {
      fail (uplink, "bytes that belong to no request");
      return;
    }
  while (done < (size_t)n && !uplink->dead)
    {
      enum http_errno error;

      done += http_parser_execute (&uplink->parser, &uplink_parser,
                                   data + done, (size_t)n - done);
      error = HTTP_PARSER_ERRNO (&uplink->parser);
      if (error == HPE_PAUSED)
        http_parser_pause (&uplink->parser, 0);
      else if (error != HPE_OK)
        {
          fail (uplink, http_errno_name (error));
          break;
        }
      if (uplink->complete)
        {
          /* Bytes behind the answer belong to no request.  */
          if (done < (size_t)n)
            uplink->keep = false;
          if (uplink->state == UPLINK_PROBING)
            probe_answered (uplink);
          else if (uplink->request != NULL)
            request_answered (uplink->request, uplink);
          break;
        }
    }
}

/* The end of the connection may be the end of an answer without length.  A
   reset never is.  */
static void
end_of_input (uplink_t *uplink, int error)
{
  if (error == 0 && uplink->state == UPLINK_RUNNING && uplink->request != NULL)
    {
      (void)http_parser_execute (&uplink->parser, &uplink_parser, NULL, 0);
      uplink->keep = false;
      if (uplink->complete && !uplink->dead)
        {
          request_answered (uplink->request, uplink);
          return;
        }
    }
  if (!uplink->dead)
    fail (uplink, error == 0 ? "closed by the endpoint" : g_strerror (error));
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  uplink_t *uplink = watcher->data;

  (void)loop;
  (void)events;
  fail (uplink, "no answer in time");
}
