#include "server_private.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "syntax.h"
#include "telemetry.h"

/* Greatest number of bytes that one read from a connection returns.  */
#define READ_BUFFER_BYTES 16384
/* While a connection is full (see connection_is_full()), up to about this many
   bytes of further input are read and kept.  */
#define PENDING_INPUT_MAX_BYTES 65536
/* Time that the client has for closing its side of the connection after the
   server has sent the last response.  */
#define LINGER_TIMEOUT_MS 1000
/* Time between the checks of a connection for timeouts.  */
#define TIMEOUT_CHECK_INTERVAL_MS 500
/* Delay until connections are accepted again after file descriptors or memory
   ran out.  */
#define ACCEPT_RETRY_DELAY_MS 100

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_accept_retry (struct ev_loop *loop, ev_timer *watcher,
                             int events);
static void connection_new (server_t *server, int fd);
static void free_closed_connections (server_t *server);
static void on_cleanup (struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timeout_check (struct ev_loop *loop, ev_timer *watcher,
                              int events);
static void parse_input (connection_t *connection, const char *data,
                         size_t length);
static void reject_request (connection_t *connection, int status,
                            const char *reason);
static void refuse_waiting_body (connection_t *connection);
static int on_message_begin (http_parser *parser);
static int on_url (http_parser *parser, const char *data, size_t length);
static int on_header_field (http_parser *parser, const char *data,
                            size_t length);
static int on_header_value (http_parser *parser, const char *data,
                            size_t length);
static int on_headers_complete (http_parser *parser);
static int on_body (http_parser *parser, const char *data, size_t length);
static int on_message_complete (http_parser *parser);
static void finish_header_field (connection_t *connection);
static bool is_idle (const connection_t *connection);
static clock_ms_t effective_idle_timeout (const connection_t *connection,
                                          clock_ms_t now);

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
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
  server_set_holdings (server, &server->own_holdings);
  server->limits = (server_limits_t){ .header_bytes = 16384,
                                      .body_bytes = 1 << 20,
                                      .header_timeout = 5000,
                                      .idle_timeout = 15000 };
  ev_io_init (&server->accept_watcher, on_accept, fd, EV_READ);
  server->accept_watcher.data = server;
  ev_timer_init (&server->accept_retry_timer, on_accept_retry,
                 ACCEPT_RETRY_DELAY_MS / 1000.0, 0);
  server->accept_retry_timer.data = server;
  ev_io_start (loop, &server->accept_watcher);
  ev_prepare_init (&server->cleanup_watcher, on_cleanup);
  server->cleanup_watcher.data = server;
  ev_prepare_start (loop, &server->cleanup_watcher);
  return server;
}

void
server_stop_accepting (server_t *server)
{
  if (server->fd < 0)
    return;
  ev_io_stop (server->loop, &server->accept_watcher);
  ev_timer_stop (server->loop, &server->accept_retry_timer);
  close (server->fd);
  server->fd = -1;
}

void
server_free (server_t *server)
{
  if (server == NULL)
    return;
  server_stop_accepting (server);
  while (server->connections.head != NULL)
    connection_close (server->connections.head->data);
  ev_prepare_stop (server->loop, &server->cleanup_watcher);
  free_closed_connections (server);
  body_forget_all (server);
  g_free (server);
}

void
server_set_body_memory (server_t *server, size_t bytes)
{
  server->body_bytes_max = bytes;
}

void
server_set_limits (server_t *server, const server_limits_t *limits)
{
  clock_ms_t now = clock_now ();

  /* After the idle timeout is shortened, connections accepted earlier keep the
     old timeout until a time of its length has passed since the change.
     Otherwise a client that relies on the old timeout could send a request
     just as its connection is closed.  */
  if (limits->idle_timeout < server->limits.idle_timeout)
    {
      server->previous_idle_timeout = server->limits.idle_timeout;
      server->idle_timeout_shortened_at = now;
    }
  server->limits = *limits;
}

/* Returns the idle timeout of a connection in ms, which may still be the one
   before the last change (see server_set_limits()).  */
static clock_ms_t
effective_idle_timeout (const connection_t *connection, clock_ms_t now)
{
  const server_t *server = connection->server;
  clock_ms_t timeout = server->limits.idle_timeout;

  if (connection->accepted_at < server->idle_timeout_shortened_at
      && now < server->idle_timeout_shortened_at
                   + server->previous_idle_timeout)
    return MAX (timeout, server->previous_idle_timeout);
  return timeout;
}

void
server_drain (server_t *server)
{
  server->draining = true;
}

/* Whether a connection has no request that is being received or processed.  */
static bool
is_idle (const connection_t *connection)
{
  return connection->exchanges.head == NULL && connection->incoming == NULL
         && connection->pending_input->len == 0
         && connection->request_started_at == 0;
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
server_connection_count (const server_t *server)
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
          server_shed (server);
          continue;
        }
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
        {
          g_warning ("cannot accept connections: %s; retrying shortly",
                     g_strerror (errno));
          ev_io_stop (loop, &server->accept_watcher);
          ev_timer_set (&server->accept_retry_timer,
                        ACCEPT_RETRY_DELAY_MS / 1000.0, 0);
          ev_timer_start (loop, &server->accept_retry_timer);
        }
      return;
    }
}

static void
on_accept_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  server_t *server = watcher->data;

  (void)events;
  ev_io_start (loop, &server->accept_watcher);
}

static void
connection_new (server_t *server, int fd)
{
  connection_t *connection = g_new0 (connection_t, 1);
  int on = 1;

  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  connection->server = server;
  connection->fd = fd;
  connection->pending_input = g_byte_array_new ();
  connection->output = g_byte_array_new ();
  connection->field_name = g_string_new (NULL);
  connection->field_value = g_string_new (NULL);
  connection->accepted_at = clock_now ();
  connection->last_activity_at = connection->accepted_at;
  connection->link.data = connection;
  g_queue_push_tail_link (&server->connections, &connection->link);
  holdings_add (server->holdings, &connection->holding,
                connection->accepted_at);
  connection_update_holding (connection);
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  ev_io_init (&connection->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&connection->write_watcher, on_writable, fd, EV_WRITE);
  ev_timer_init (&connection->timeout_timer, on_timeout_check,
                 TIMEOUT_CHECK_INTERVAL_MS / 1000.0,
                 TIMEOUT_CHECK_INTERVAL_MS / 1000.0);
  connection->read_watcher.data = connection;
  connection->write_watcher.data = connection;
  connection->timeout_timer.data = connection;
  ev_io_start (server->loop, &connection->read_watcher);
  ev_timer_start (server->loop, &connection->timeout_timer);
}

/* Frees the connections that were closed since the last iteration of the event
   loop.  They are not freed at once because functions up the call stack may
   still use them.  */
static void
free_closed_connections (server_t *server)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&server->closed)) != NULL)
    {
      connection_t *connection = link->data;

      g_byte_array_free (connection->pending_input, TRUE);
      g_byte_array_free (connection->output, TRUE);
      if (connection->output_body != NULL)
        g_byte_array_free (connection->output_body, TRUE);
      g_string_free (connection->field_name, TRUE);
      g_string_free (connection->field_value, TRUE);
      g_free (connection);
    }
}

static void
on_cleanup (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  server_shed (watcher->data);
  free_closed_connections (watcher->data);
  body_resume_waiting (watcher->data);
}

void
connection_close (connection_t *connection)
{
  server_t *server = connection->server;
  exchange_t *exchange;

  if (connection->closed)
    return;
  connection->closed = true;
  ev_io_stop (server->loop, &connection->read_watcher);
  ev_io_stop (server->loop, &connection->write_watcher);
  ev_timer_stop (server->loop, &connection->timeout_timer);
  close (connection->fd);
  body_stop_waiting (connection);
  g_queue_unlink (&server->connections, &connection->link);
  holdings_remove (server->holdings, &connection->holding);
  if (connection->incoming != NULL)
    exchange_free (connection->incoming);
  connection->incoming = NULL;
  g_queue_push_tail_link (&server->closed, &connection->link);
  while ((exchange = g_queue_pop_head (&connection->exchanges)) != NULL)
    {
      exchange->connection = NULL;
      if (exchange->response_ended || exchange->response_aborted)
        exchange_free (exchange);
      else
        server->hooks.disconnected (server->hooks.context, exchange);
    }
}

void
exchange_free (exchange_t *exchange)
{
  body_release (exchange);
  g_free (exchange->method);
  g_free (exchange->target);
  g_ptr_array_free (exchange->fields, TRUE);
  g_byte_array_free (exchange->body, TRUE);
  if (exchange->head != NULL)
    g_string_free (exchange->head, TRUE);
  if (exchange->output != NULL)
    g_byte_array_free (exchange->output, TRUE);
  g_free (exchange);
}

void
exchange_release (exchange_t *exchange)
{
  exchange_free (exchange);
}

const char *
exchange_header_value (const exchange_t *exchange, const char *name)
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
  char data[READ_BUFFER_BYTES];
  ssize_t n;

  (void)events;
  /* What is read now may take many times its length.  */
  server_shed (connection->server);
  if (connection->closed)
    return;
  n = recv (connection->fd, data, sizeof data, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      connection_close (connection);
      return;
    }
  if (connection->lingering)
    return;
  connection->last_activity_at = clock_now ();
  if (connection->pending_input->len > 0 || connection_is_full (connection))
    {
      g_byte_array_append (connection->pending_input, (const guint8 *)data,
                           (guint)n);
      if (connection->pending_input->len > PENDING_INPUT_MAX_BYTES)
        ev_io_stop (loop, &connection->read_watcher);
      connection_resume (connection);
    }
  else
    parse_input (connection, data, (size_t)n);
  connection_update_holding (connection);
}

void
connection_resume (connection_t *connection)
{
  GByteArray *input = connection->pending_input;

  if (input->len == 0 || connection->closed || connection->closing
      || connection->waits_for_body || connection_is_full (connection))
    return;
  connection->pending_input = g_byte_array_new ();
  parse_input (connection, (const char *)input->data, input->len);
  g_byte_array_free (input, TRUE);
  if (!connection->closed && !connection->waits_for_body)
    ev_io_start (connection->server->loop, &connection->read_watcher);
}

static void
parse_input (connection_t *connection, const char *data, size_t length)
{
  http_parser *parser = &connection->parser;
  size_t parsed = 0;

  while (parsed < length && !connection->closing && !connection->closed)
    {
      size_t n;
      enum http_errno error;

      if (connection_is_full (connection))
        {
          g_byte_array_append (connection->pending_input,
                               (const guint8 *)data + parsed,
                               (guint)(length - parsed));
          return;
        }
      n = http_parser_execute (parser, &parser_settings, data + parsed,
                               length - parsed);
      parsed += n;
      error = HTTP_PARSER_ERRNO (parser);
      if (error == HPE_PAUSED)
        {
          http_parser_pause (parser, 0);
          if (!connection->waits_for_body)
            continue;
          g_byte_array_append (connection->pending_input,
                               (const guint8 *)data + parsed,
                               (guint)(length - parsed));
          ev_io_stop (connection->server->loop, &connection->read_watcher);
          return;
        }
      if (error == HPE_HEADER_OVERFLOW)
        reject_request (connection, 431, "Request Header Fields Too Large");
      else if (error != HPE_OK && !connection->closing)
        reject_request (connection, 400, "Bad Request");
    }
  if (!connection->closed && connection->incoming != NULL
      && connection->header_bytes
             > (size_t)connection->server->limits.header_bytes)
    reject_request (connection, 431, "Request Header Fields Too Large");
}

/* Responds with an error to a request that cannot be read further, and closes
   the connection after the response.  */
static void
reject_request (connection_t *connection, int status, const char *reason)
{
  exchange_t *exchange = connection->incoming;

  connection->closing = true;
  connection->incoming = NULL;
  connection->request_started_at = 0;
  if (exchange == NULL)
    {
      exchange = g_new0 (exchange_t, 1);
      exchange->fields = g_ptr_array_new_with_free_func (g_free);
      exchange->body = g_byte_array_new ();
      exchange->connection = connection;
    }
  exchange->close_after = true;
  g_queue_push_tail (&connection->exchanges, exchange);
  exchange_respond (exchange, status, reason, NULL, NULL, 0);
}

/* Refuses a request whose body was not read, as there was no memory for it.
   The request was not passed on, so that the client may repeat it.  */
static void
refuse_waiting_body (connection_t *connection)
{
  exchange_t *exchange = connection->incoming;

  g_message ("a request is refused: no memory for its body within %d ms",
             (int)(clock_now () - connection->body_wait_started_at));
  body_stop_waiting (connection);
  connection->closing = true;
  connection->incoming = NULL;
  connection->request_started_at = 0;
  exchange->close_after = true;
  /* The rest of the body is read and dropped until the client closes.  */
  g_byte_array_set_size (connection->pending_input, 0);
  ev_io_start (connection->server->loop, &connection->read_watcher);
  g_queue_push_tail (&connection->exchanges, exchange);
  exchange_respond (exchange, 503, "Service Unavailable", "Retry-After: 1\r\n",
                    NULL, 0);
}

static int
on_message_begin (http_parser *parser)
{
  connection_t *connection = parser->data;
  exchange_t *exchange = g_new0 (exchange_t, 1);

  exchange->connection = connection;
  exchange->fields = g_ptr_array_new_with_free_func (g_free);
  exchange->body = g_byte_array_new ();
  connection->incoming = exchange;
  connection->header_bytes = 0;
  connection->in_body = false;
  connection->request_started_at = clock_now ();
  g_string_truncate (connection->field_name, 0);
  g_string_truncate (connection->field_value, 0);
  connection->in_value = false;
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;
  exchange_t *exchange = connection->incoming;
  char *previous = exchange->target;

  connection->header_bytes += length;
  connection->incoming->head_bytes += length;
  exchange->target = previous == NULL ? g_strndup (data, length)
                                      : g_strdup_printf ("%s%.*s", previous,
                                                         (int)length, data);
  g_free (previous);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;

  if (!syntax_is_token (data, length))
    return -1;
  if (connection->in_value)
    finish_header_field (connection);
  g_string_append_len (connection->field_name, data, (gssize)length);
  connection->header_bytes += length;
  connection->incoming->head_bytes += length;
  return 0;
}

static int
on_header_value (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;

  connection->in_value = true;
  g_string_append_len (connection->field_value, data, (gssize)length);
  connection->header_bytes += length;
  connection->incoming->head_bytes += length;
  return 0;
}

static void
finish_header_field (connection_t *connection)
{
  GPtrArray *fields = connection->incoming->fields;

  if (connection->field_name->len > 0)
    {
      g_ptr_array_add (fields, g_strdup (connection->field_name->str));
      g_ptr_array_add (fields, g_strdup (connection->field_value->str));
    }
  g_string_truncate (connection->field_name, 0);
  g_string_truncate (connection->field_value, 0);
  connection->in_value = false;
}

static int
on_headers_complete (http_parser *parser)
{
  connection_t *connection = parser->data;
  const server_limits_t *limits = &connection->server->limits;
  exchange_t *exchange = connection->incoming;

  finish_header_field (connection);
  connection->in_body = true;
  exchange->method
      = g_strdup (http_method_str ((enum http_method)parser->method));
  /* Protocol upgrades are not supported, so the bytes after the header are
     parsed as the body or the next request.  */
  parser->upgrade = 0;
  if (parser->method == HTTP_CONNECT)
    {
      reject_request (connection, 400, "Bad Request");
      return -1;
    }
  if (connection->header_bytes > (size_t)limits->header_bytes)
    {
      reject_request (connection, 431, "Request Header Fields Too Large");
      return -1;
    }
  if (parser->content_length != ULLONG_MAX
      && parser->content_length > (uint64_t)limits->body_bytes)
    {
      reject_request (connection, 413, "Content Too Large");
      return -1;
    }
  /* The parser goes on after the pause when there is memory for the body.  */
  if (!body_begin (connection))
    http_parser_pause (parser, 1);
  return connection->closed ? -1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  connection_t *connection = parser->data;
  exchange_t *exchange = connection->incoming;

  if (exchange->body->len + length
      > (size_t)connection->server->limits.body_bytes)
    {
      reject_request (connection, 413, "Content Too Large");
      return -1;
    }
  g_byte_array_append (exchange->body, (const guint8 *)data, (guint)length);
  body_grow (exchange, exchange->body->len);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  connection_t *connection = parser->data;
  server_t *server = connection->server;
  exchange_t *exchange = connection->incoming;

  finish_header_field (connection);
  connection->incoming = NULL;
  connection->request_started_at = 0;
  exchange->arrived_at = clock_now ();
  exchange->no_body = parser->method == HTTP_HEAD;
  if (!http_should_keep_alive (parser))
    {
      exchange->close_after = true;
      connection->closing = true;
    }
  g_queue_push_tail (&connection->exchanges, exchange);
  server->hooks.request (server->hooks.context, exchange);
  /* The pause makes the parser return to parse_input(), which checks whether
     the handler has closed the connection before it parses the next
     request.  */
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
on_timeout_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  connection_t *connection = watcher->data;
  const server_limits_t *limits = &connection->server->limits;
  clock_ms_t now = clock_now ();
  clock_ms_t idle_for = now - connection->last_activity_at;

  (void)loop;
  (void)events;
  if (connection->lingering)
    {
      if (idle_for >= LINGER_TIMEOUT_MS)
        connection_close (connection);
    }
  else if (body_has_waited_too_long (connection, now))
    refuse_waiting_body (connection);
  else if (connection->waits_for_body)
    return;
  else if (connection->request_started_at != 0)
    {
      if (now - connection->request_started_at >= limits->header_timeout
          && (!connection->in_body || idle_for >= limits->header_timeout))
        reject_request (connection, 408, "Request Timeout");
    }
  else if (connection_is_blocked (connection))
    {
      if (idle_for >= effective_idle_timeout (connection, now))
        connection_close (connection);
    }
  else if (is_idle (connection)
           && idle_for >= effective_idle_timeout (connection, now))
    {
      connection->closing = true;
      connection_flush (connection);
    }
}
