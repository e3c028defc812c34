/* Sending of responses.  On each connection they are sent in the order of
   their requests, whatever the order in which the handler writes them.  */

#include "server_private.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* An output buffer of a connection that has grown beyond this size is freed
   after it was sent, so that idle connections do not keep the memory.  */
#define IDLE_OUTPUT_MAX_BYTES 8192
/* Bodies up to this size are copied into the connection's output buffer;
   larger ones are sent from their own buffer.  */
#define COPIED_BODY_MAX_BYTES 4096

static void start_response (exchange_t *exchange, int status,
                            const char *reason, const char *fields);
static void append_chunk (GByteArray *out, const void *data, size_t length);
static void flush_exchange (exchange_t *exchange);
static bool collect_output (connection_t *connection);
static bool send_output (connection_t *connection);
static void queue_head (connection_t *connection, exchange_t *exchange);
static void flush_output (connection_t *connection);
static void start_lingering_close (connection_t *connection);

static void
start_response (exchange_t *exchange, int status, const char *reason,
                const char *fields)
{
  exchange->head = g_string_new (NULL);
  exchange->output = g_byte_array_new ();
  exchange->response_started = true;
  exchange->no_body = exchange->no_body || status == 204 || status == 304;
  g_string_printf (exchange->head, "HTTP/1.1 %d %s\r\n%s", status, reason,
                   fields != NULL ? fields : "");
}

void
exchange_respond (exchange_t *exchange, int status, const char *reason,
                  const char *fields, const void *body, size_t length)
{
  GByteArray *copy = g_byte_array_new ();

  g_byte_array_append (copy, body, (guint)length);
  exchange_respond_take (exchange, status, reason, fields, copy);
}

void
exchange_respond_take (exchange_t *exchange, int status, const char *reason,
                       const char *fields, GByteArray *body)
{
  start_response (exchange, status, reason, fields);
  if (status != 204 && status != 304)
    g_string_append_printf (exchange->head, "Content-Length: %u\r\n",
                            body->len);
  g_byte_array_free (exchange->output, TRUE);
  exchange->output = body;
  if (exchange->no_body)
    g_byte_array_set_size (exchange->output, 0);
  exchange->response_ended = true;
  flush_exchange (exchange);
}

void
exchange_start_response (exchange_t *exchange, int status, const char *reason,
                         const char *fields, int64_t length)
{
  start_response (exchange, status, reason, fields);
  exchange->chunked = length < 0;
  if (exchange->chunked)
    g_string_append (exchange->head, "Transfer-Encoding: chunked\r\n");
  else
    g_string_append_printf (
        exchange->head, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  flush_exchange (exchange);
}

static void
append_chunk (GByteArray *out, const void *data, size_t length)
{
  char size[24];
  int n = g_snprintf (size, sizeof size, "%zx\r\n", length);

  g_byte_array_append (out, (const guint8 *)size, (guint)n);
  if (length > 0)
    g_byte_array_append (out, data, (guint)length);
  g_byte_array_append (out, (const guint8 *)"\r\n", 2);
}

void
exchange_write_body (exchange_t *exchange, const void *data, size_t length)
{
  if (length == 0 || exchange->no_body)
    return;
  if (exchange->chunked)
    append_chunk (exchange->output, data, length);
  else
    g_byte_array_append (exchange->output, data, (guint)length);
  flush_exchange (exchange);
}

void
exchange_end_response (exchange_t *exchange)
{
  if (exchange->chunked && !exchange->no_body)
    append_chunk (exchange->output, NULL, 0);
  exchange->response_ended = true;
  flush_exchange (exchange);
}

void
exchange_abort_response (exchange_t *exchange)
{
  exchange->response_aborted = true;
  flush_exchange (exchange);
}

size_t
exchange_unsent_bytes (const exchange_t *exchange)
{
  size_t pending = exchange->output != NULL ? exchange->output->len : 0;

  if (exchange->head_queued && exchange->connection != NULL)
    {
      const connection_t *connection = exchange->connection;

      pending += connection->output->len - connection->output_sent_bytes;
      if (connection->output_body != NULL)
        pending += connection->output_body->len;
    }
  return pending;
}

/* Sends what was written to the response of an exchange, as far as possible.
   If its client has disconnected, frees the exchange once the handler has
   ended or aborted the response.  */
static void
flush_exchange (exchange_t *exchange)
{
  connection_t *connection = exchange->connection;

  if (connection == NULL)
    {
      if (exchange->response_ended || exchange->response_aborted)
        exchange_free (exchange);
      return;
    }
  connection_flush (connection);
}

/* Completes the response head and moves it to the connection's output.  */
static void
queue_head (connection_t *connection, exchange_t *exchange)
{
  server_t *server = connection->server;

  exchange->head_queued = true;
  /* While the server drains, only the last pending response closes the
     connection, so that each request that was passed to the handler gets a
     response.  */
  if (server->draining && connection->exchanges.head->next == NULL
      && connection->incoming == NULL && connection->pending_input->len == 0)
    {
      exchange->close_after = true;
      connection->closing = true;
    }
  if (exchange->close_after)
    g_string_append (exchange->head, "Connection: close\r\n");
  g_string_append (exchange->head, "\r\n");
  g_byte_array_append (connection->output, (const guint8 *)exchange->head->str,
                       (guint)exchange->head->len);
}

/* Moves what was written to the response of the oldest exchange to the
   connection's output, and frees the exchange if the response has ended.
   Nothing may follow an aborted response: the client would take it for the
   rest of that one.  Return: whether the response has ended.  */
static bool
collect_output (connection_t *connection)
{
  exchange_t *exchange = g_queue_peek_head (&connection->exchanges);

  if (connection->truncated || exchange == NULL || !exchange->response_started
      || connection->output_body != NULL)
    return false;
  if (!exchange->head_queued)
    queue_head (connection, exchange);
  if (exchange->output->len > COPIED_BODY_MAX_BYTES)
    {
      connection->output_body = exchange->output;
      exchange->output = g_byte_array_new ();
    }
  else if (exchange->output->len > 0)
    {
      g_byte_array_append (connection->output, exchange->output->data,
                           exchange->output->len);
      g_byte_array_set_size (exchange->output, 0);
    }
  if (!exchange->response_ended && !exchange->response_aborted)
    return false;
  if (exchange->response_aborted || exchange->close_after)
    connection->closing = true;
  g_queue_pop_head (&connection->exchanges);
  if (exchange->response_aborted)
    connection->truncated = true;
  exchange_free (exchange);
  return true;
}

/* Sends the connection's output.  Return: false when the socket takes no more
   bytes now, or the connection was closed.  */
static bool
send_output (connection_t *connection)
{
  while (connection->output_sent_bytes < connection->output->len)
    {
      ssize_t n
          = send (connection->fd,
                  connection->output->data + connection->output_sent_bytes,
                  connection->output->len - connection->output_sent_bytes,
                  MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        {
          ev_io_start (connection->server->loop, &connection->write_watcher);
          return false;
        }
      if (n < 0)
        {
          connection_close (connection);
          return false;
        }
      connection->output_sent_bytes += (size_t)n;
      connection->last_activity_at = clock_now ();
    }
  connection->output_sent_bytes = 0;
  if (connection->output_body != NULL
      || connection->output->len > IDLE_OUTPUT_MAX_BYTES)
    {
      g_byte_array_free (connection->output, TRUE);
      connection->output = connection->output_body != NULL
                               ? connection->output_body
                               : g_byte_array_new ();
      connection->output_body = NULL;
      return send_output (connection);
    }
  g_byte_array_set_size (connection->output, 0);
  return true;
}

void
connection_flush (connection_t *connection)
{
  flush_output (connection);
  connection_update_holding (connection);
}

/* Sends what was written to the responses, and acts on what was sent.  */
static void
flush_output (connection_t *connection)
{
  server_t *server = connection->server;
  exchange_t *first;

  if (connection->closed || connection->lingering)
    return;
  do
    {
      while (collect_output (connection))
        continue;
      if (!send_output (connection))
        return;
      first = g_queue_peek_head (&connection->exchanges);
    }
  while (!connection->truncated && first != NULL && first->response_started
         && (first->output->len > 0 || first->response_ended
             || first->response_aborted));
  ev_io_stop (server->loop, &connection->write_watcher);
  if (connection->truncated)
    {
      connection_close (connection);
      return;
    }
  if (first != NULL && first->head_queued
      && server->hooks.output_drained != NULL)
    server->hooks.output_drained (server->hooks.context, first);
  if (connection->closed)
    return;
  if (connection->closing && connection->exchanges.head == NULL)
    start_lingering_close (connection);
  else
    connection_resume (connection);
}

/* Lingering close: closing a socket that has unread input would reset the
   connection and could discard the response in transit, so the client is given
   time to close first.  */
static void
start_lingering_close (connection_t *connection)
{
  connection->lingering = true;
  connection->last_activity_at = clock_now ();
  if (shutdown (connection->fd, SHUT_WR) != 0)
    connection_close (connection);
}
