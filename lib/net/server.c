#include "server_private.h"

#include <errno.h>
#include <limits.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

#define READ_SIZE 16384
/* Requests of one connection that are worked on at the same time.  */
#define PIPELINE_MAX 16
/* Input kept while that many are waiting.  */
#define INPUT_MAX 65536
/* Wait for a caller to close after the last answer.  */
#define LINGER_MS 1000
#define TIMER_MS 500
/* Pause of accepting when descriptors have run out.  */
#define ACCEPT_PAUSE_MS 100

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_accept_pause (struct ev_loop *loop, ev_timer *watcher,
                             int events);
static void connection_new (server_t *server, int fd);
static void free_dead (server_t *server);
static void on_turn (struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void parse (connection_t *connection, const char *data, size_t length);
static void refuse (connection_t *connection, int status, const char *reason);
static int on_begin (http_parser *parser);
static int on_url (http_parser *parser, const char *data, size_t length);
static int on_name (http_parser *parser, const char *data, size_t length);
static int on_value (http_parser *parser, const char *data, size_t length);
static int on_headers (http_parser *parser);
static int on_body (http_parser *parser, const char *data, size_t length);
static int on_complete (http_parser *parser);
static void end_field (connection_t *connection);
static bool is_idle (const connection_t *connection);
static clock_ms_t idle_timeout (const connection_t *connection,
                                clock_ms_t now);

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

server_t *
server_new (struct ev_loop *loop, const struct sockaddr_in *address,
            const server_hooks_t *hooks, int *result)
{
  server_t *server;
  int fd = socket_listen (address);

  *result = MIN (fd, 0);
  if (fd < 0)
    return NULL;
  server = g_new0 (server_t, 1);
  server->loop = loop;
  server->hooks = *hooks;
  server->fd = fd;
  server->limits = (server_limits_t){ .header_bytes = 16384,
                                      .body_bytes = 1 << 20,
                                      .header_timeout = 5000,
                                      .idle_timeout = 15000 };
  ev_io_init (&server->acceptor, on_accept, fd, EV_READ);
  server->acceptor.data = server;
  ev_timer_init (&server->accept_pause, on_accept_pause,
                 ACCEPT_PAUSE_MS / 1000.0, 0);
  server->accept_pause.data = server;
  ev_io_start (loop, &server->acceptor);
  ev_prepare_init (&server->cleaner, on_turn);
  server->cleaner.data = server;
  ev_prepare_start (loop, &server->cleaner);
  return server;
}

void
server_close (server_t *server)
{
  if (server->fd < 0)
    return;
  ev_io_stop (server->loop, &server->acceptor);
  ev_timer_stop (server->loop, &server->accept_pause);
  close (server->fd);
  server->fd = -1;
}

void
server_free (server_t *server)
{
  if (server == NULL)
    return;
  server_close (server);
  while (server->connections.head != NULL)
    connection_close (server->connections.head->data);
  ev_prepare_stop (server->loop, &server->cleaner);
  free_dead (server);
  g_free (server);
}

void
server_set_limits (server_t *server, const server_limits_t *limits)
{
  clock_ms_t now = clock_now ();

  /* Callers go by the longer timeout until they have learnt the new one; an
     idle connection that is closed at once may cross their next request.  */
  if (limits->idle_timeout < server->limits.idle_timeout)
    {
      server->idle_before = server->limits.idle_timeout;
      server->shortened_at = now;
    }
  server->limits = *limits;
}

static clock_ms_t
idle_timeout (const connection_t *connection, clock_ms_t now)
{
  const server_t *server = connection->server;
  clock_ms_t timeout = server->limits.idle_timeout;

  if (connection->opened_at < server->shortened_at
      && now < server->shortened_at + server->idle_before)
    return MAX (timeout, server->idle_before);
  return timeout;
}

void
server_drain (server_t *server)
{
  server->draining = true;
}

static bool
is_idle (const connection_t *connection)
{
  return connection->exchanges.head == NULL && connection->reading == NULL
         && connection->in->len == 0 && connection->request_began == 0;
}

void
server_close_idle (server_t *server)
{
  for (GList *link = server->connections.head; link != NULL;)
    {
      connection_t *connection = link->data;

      link = link->next;
      if (is_idle (connection) && !connection->lingering)
        {
          connection->closing = true;
          connection_flush (connection);
        }
    }
}

int
server_connections (const server_t *server)
{
  return (int)server->connections.length;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  server_t *server = watcher->data;

  (void)events;
  for (;;)
    {
      int fd = accept4 (server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd >= 0)
        {
          connection_new (server, fd);
          continue;
        }
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
        {
          g_warning ("accept: %s; pausing", g_strerror (errno));
          ev_io_stop (loop, &server->acceptor);
          ev_timer_set (&server->accept_pause, ACCEPT_PAUSE_MS / 1000.0, 0);
          ev_timer_start (loop, &server->accept_pause);
        }
      return;
    }
}

static void
on_accept_pause (struct ev_loop *loop, ev_timer *watcher, int events)
{
  server_t *server = watcher->data;

  (void)events;
  ev_io_start (loop, &server->acceptor);
}

static void
connection_new (server_t *server, int fd)
{
  connection_t *connection = g_new0 (connection_t, 1);
  int on = 1;

  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  connection->server = server;
  connection->fd = fd;
  connection->in = g_byte_array_new ();
  connection->out = g_byte_array_new ();
  connection->name = g_string_new (NULL);
  connection->value = g_string_new (NULL);
  connection->opened_at = clock_now ();
  connection->active_at = connection->opened_at;
  connection->link.data = connection;
  g_queue_push_tail_link (&server->connections, &connection->link);
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  ev_io_init (&connection->reader, on_readable, fd, EV_READ);
  ev_io_init (&connection->writer, on_writable, fd, EV_WRITE);
  ev_timer_init (&connection->timer, on_timer, TIMER_MS / 1000.0,
                 TIMER_MS / 1000.0);
  connection->reader.data = connection;
  connection->writer.data = connection;
  connection->timer.data = connection;
  ev_io_start (server->loop, &connection->reader);
  ev_timer_start (server->loop, &connection->timer);
}

/* Frees the connections that were closed since the last turn of the loop;
   functions further up may still have worked on them before.  */
static void
free_dead (server_t *server)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&server->dead)) != NULL)
    {
      connection_t *connection = link->data;

      g_byte_array_free (connection->in, TRUE);
      g_byte_array_free (connection->out, TRUE);
      if (connection->tail != NULL)
        g_byte_array_free (connection->tail, TRUE);
      g_string_free (connection->name, TRUE);
      g_string_free (connection->value, TRUE);
      g_free (connection);
    }
}

static void
on_turn (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  free_dead (watcher->data);
}

void
connection_close (connection_t *connection)
{
  server_t *server = connection->server;
  exchange_t *exchange;

  if (connection->dead)
    return;
  connection->dead = true;
  ev_io_stop (server->loop, &connection->reader);
  ev_io_stop (server->loop, &connection->writer);
  ev_timer_stop (server->loop, &connection->timer);
  close (connection->fd);
  g_queue_unlink (&server->connections, &connection->link);
  if (connection->reading != NULL)
    exchange_free (connection->reading);
  connection->reading = NULL;
  g_queue_push_tail_link (&server->dead, &connection->link);
  while ((exchange = g_queue_pop_head (&connection->exchanges)) != NULL)
    {
      exchange->connection = NULL;
      if (exchange->ended || exchange->aborted)
        exchange_free (exchange);
      else
        server->hooks.gone (server->hooks.context, exchange);
    }
}

void
exchange_free (exchange_t *exchange)
{
  g_free (exchange->method);
  g_free (exchange->target);
  g_ptr_array_free (exchange->fields, TRUE);
  g_byte_array_free (exchange->body, TRUE);
  if (exchange->head != NULL)
    g_string_free (exchange->head, TRUE);
  if (exchange->out != NULL)
    g_byte_array_free (exchange->out, TRUE);
  g_free (exchange);
}

void
exchange_release (exchange_t *exchange)
{
  exchange_free (exchange);
}

const char *
exchange_field (const exchange_t *exchange, const char *name)
{
  for (guint i = 0; i + 1 < exchange->fields->len; i += 2)
    if (g_ascii_strcasecmp (g_ptr_array_index (exchange->fields, i), name)
        == 0)
      return g_ptr_array_index (exchange->fields, i + 1);
  return NULL;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  connection_t *connection = watcher->data;
  char data[READ_SIZE];
  ssize_t n = recv (connection->fd, data, sizeof data, 0);

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      connection_close (connection);
      return;
    }
  if (connection->lingering)
    return;
  connection->active_at = clock_now ();
  if (connection->in->len > 0
      || g_queue_get_length (&connection->exchanges) >= PIPELINE_MAX)
    {
      g_byte_array_append (connection->in, (const guint8 *)data, (guint)n);
      if (connection->in->len > INPUT_MAX)
        ev_io_stop (loop, &connection->reader);
      connection_resume (connection);
    }
  else
    parse (connection, data, (size_t)n);
}

/* Parses input that was kept while too many requests were waiting.  */
void
connection_resume (connection_t *connection)
{
  GByteArray *input = connection->in;

  if (input->len == 0 || connection->dead || connection->closing
      || g_queue_get_length (&connection->exchanges) >= PIPELINE_MAX)
    return;
  connection->in = g_byte_array_new ();
  parse (connection, (const char *)input->data, input->len);
  g_byte_array_free (input, TRUE);
  if (!connection->dead)
    ev_io_start (connection->server->loop, &connection->reader);
}

static void
parse (connection_t *connection, const char *data, size_t length)
{
  http_parser *parser = &connection->parser;
  size_t done = 0;

  while (done < length && !connection->closing && !connection->dead)
    {
      size_t n;
      enum http_errno error;

      if (g_queue_get_length (&connection->exchanges) >= PIPELINE_MAX)
        {
          g_byte_array_append (connection->in, (const guint8 *)data + done,
                               (guint)(length - done));
          return;
        }
      n = http_parser_execute (parser, &parser_settings, data + done,
                               length - done);
      done += n;
      error = HTTP_PARSER_ERRNO (parser);
      if (error == HPE_PAUSED)
        {
          http_parser_pause (parser, 0);
          continue;
        }
      if (error == HPE_HEADER_OVERFLOW)
        refuse (connection, 431, "Request Header Fields Too Large");
      else if (error != HPE_OK && !connection->closing)
        refuse (connection, 400, "Bad Request");
    }
  if (!connection->dead && connection->reading != NULL
      && connection->header_bytes
             > (size_t)connection->server->limits.header_bytes)
    refuse (connection, 431, "Request Header Fields Too Large");
}

/* Answers a request that can't be read further and ends the connection.  */
static void
refuse (connection_t *connection, int status, const char *reason)
{
  exchange_t *exchange = connection->reading;

  connection->closing = true;
  connection->reading = NULL;
  connection->request_began = 0;
  if (exchange == NULL)
    {
      exchange = g_new0 (exchange_t, 1);
      exchange->fields = g_ptr_array_new_with_free_func (g_free);
      exchange->body = g_byte_array_new ();
      exchange->connection = connection;
    }
  exchange->last = true;
  g_queue_push_tail (&connection->exchanges, exchange);
  exchange_answer (exchange, status, reason, NULL, NULL, 0);
}

static int
on_begin (http_parser *parser)
{
  connection_t *connection = parser->data;
  exchange_t *exchange = g_new0 (exchange_t, 1);

  exchange->connection = connection;
  exchange->fields = g_ptr_array_new_with_free_func (g_free);
  exchange->body = g_byte_array_new ();
  connection->reading = exchange;
  connection->header_bytes = 0;
  connection->request_began = clock_now ();
  g_string_truncate (connection->name, 0);
  g_string_truncate (connection->value, 0);
  connection->in_value = false;
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;
  exchange_t *exchange = connection->reading;
  char *before = exchange->target;

  connection->header_bytes += length;
  exchange->target
      = before == NULL ? g_strndup (data, length)
                       : g_strdup_printf ("%s%.*s", before, (int)length, data);
  g_free (before);
  return 0;
}

static int
on_name (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;

  if (connection->in_value)
    end_field (connection);
  g_string_append_len (connection->name, data, (gssize)length);
  connection->header_bytes += length;
  return 0;
}

static int
on_value (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;

  connection->in_value = true;
  g_string_append_len (connection->value, data, (gssize)length);
  connection->header_bytes += length;
  return 0;
}

static void
end_field (connection_t *connection)
{
  GPtrArray *fields = connection->reading->fields;

  if (connection->name->len > 0)
    {
      g_ptr_array_add (fields, g_strdup (connection->name->str));
      g_ptr_array_add (fields, g_strdup (connection->value->str));
    }
  g_string_truncate (connection->name, 0);
  g_string_truncate (connection->value, 0);
  connection->in_value = false;
}

static int
on_headers (http_parser *parser)
{
  connection_t *connection = parser->data;
  const server_limits_t *limits = &connection->server->limits;
  exchange_t *exchange = connection->reading;

  end_field (connection);
  exchange->method
      = g_strdup (http_method_str ((enum http_method)parser->method));
  /* No upgrade is offered: what follows is the next request.  */
  parser->upgrade = 0;
  if (parser->method == HTTP_CONNECT)
    {
      refuse (connection, 400, "Bad Request");
      return -1;
    }
  if (connection->header_bytes > (size_t)limits->header_bytes)
    {
      refuse (connection, 431, "Request Header Fields Too Large");
      return -1;
    }
  if (parser->content_length != ULLONG_MAX
      && parser->content_length > (uint64_t)limits->body_bytes)
    {
      refuse (connection, 413, "Content Too Large");
      return -1;
    }
  if (exchange_field (exchange, "Expect") != NULL
      && connection->exchanges.head == NULL)
    {
      static const char proceed[] = "HTTP/1.1 100 Continue\r\n\r\n";

      g_byte_array_append (connection->out, (const guint8 *)proceed,
                           sizeof proceed - 1);
      connection_flush (connection);
    }
  return connection->dead ? -1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;
  exchange_t *exchange = connection->reading;

  if (exchange->body->len + length
      > (size_t)connection->server->limits.body_bytes)
    {
      refuse (connection, 413, "Content Too Large");
      return -1;
    }
  g_byte_array_append (exchange->body, (const guint8 *)data, (guint)length);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  connection_t *connection = parser->data;
  server_t *server = connection->server;
  exchange_t *exchange = connection->reading;

  end_field (connection);
  connection->reading = NULL;
  connection->request_began = 0;
  exchange->arrived = clock_now ();
  exchange->no_body = parser->method == HTTP_HEAD;
  if (!http_should_keep_alive (parser))
    {
      exchange->last = true;
      connection->closing = true;
    }
  g_queue_push_tail (&connection->exchanges, exchange);
  server->hooks.request (server->hooks.context, exchange);
  /* The loop in parse() sees the state that the handler left.  */
  http_parser_pause (parser, 1);
  return 0;
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  connection_t *connection = watcher->data;

  (void)loop;
  (void)events;
  connection_flush (connection);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  connection_t *connection = watcher->data;
  const server_limits_t *limits = &connection->server->limits;
  clock_ms_t now = clock_now ();
  clock_ms_t quiet = now - connection->active_at;

  (void)loop;
  (void)events;
  if (connection->lingering)
    {
      if (quiet >= LINGER_MS)
        connection_close (connection);
    }
  else if (connection->request_began != 0)
    {
      if (now - connection->request_began >= limits->header_timeout
          && quiet >= limits->header_timeout)
        refuse (connection, 408, "Request Timeout");
    }
  else if (is_idle (connection) && quiet >= idle_timeout (connection, now))
    {
      connection->closing = true;
      connection_flush (connection);
    }
}
