/* Answers of the server: heads, bodies, and the order of exchanges.  */

#include "server_private.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* A larger buffer is not kept for an idle connection.  */
#define OUTPUT_MAX 8192
/* Larger bodies are sent from where they are.  */
#define COPY_MAX 4096

static void begin (exchange_t *exchange, int status, const char *reason,
                   const char *fields);
static void append_chunk (GByteArray *out, const void *data, size_t length);
static void flush_of (exchange_t *exchange);
static bool take_output (connection_t *connection);
static bool write_out (connection_t *connection);
static void start_head (connection_t *connection, exchange_t *exchange);
static void shut_down (connection_t *connection);

static void
begin (exchange_t *exchange, int status, const char *reason,
       const char *fields)
{
  exchange->head = g_string_new (NULL);
  exchange->out = g_byte_array_new ();
  exchange->begun = true;
  exchange->no_body = exchange->no_body || status == 204 || status == 304;
  g_string_printf (exchange->head, "HTTP/1.1 %d %s\r\n%s", status, reason,
                   fields != NULL ? fields : "");
}

void
exchange_answer (exchange_t *exchange, int status, const char *reason,
                 const char *fields, const void *body, size_t length)
{
  GByteArray *copy = g_byte_array_new ();

  g_byte_array_append (copy, body, (guint)length);
  exchange_answer_with (exchange, status, reason, fields, copy);
}

void
exchange_answer_with (exchange_t *exchange, int status, const char *reason,
                      const char *fields, GByteArray *body)
{
  begin (exchange, status, reason, fields);
  if (status != 204 && status != 304)
    g_string_append_printf (exchange->head, "Content-Length: %u\r\n",
                            body->len);
  g_byte_array_free (exchange->out, TRUE);
  exchange->out = body;
  if (exchange->no_body)
    g_byte_array_set_size (exchange->out, 0);
  exchange->ended = true;
  flush_of (exchange);
}

void
exchange_begin (exchange_t *exchange, int status, const char *reason,
                const char *fields, int64_t length)
{
  begin (exchange, status, reason, fields);
  exchange->chunked = length < 0;
  if (exchange->chunked)
    g_string_append (exchange->head, "Transfer-Encoding: chunked\r\n");
  else
    g_string_append_printf (
        exchange->head, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  flush_of (exchange);
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
exchange_write (exchange_t *exchange, const void *data, size_t length)
{
  if (length == 0 || exchange->no_body)
    return;
  if (exchange->chunked)
    append_chunk (exchange->out, data, length);
  else
    g_byte_array_append (exchange->out, data, (guint)length);
  flush_of (exchange);
}

void
exchange_end (exchange_t *exchange)
{
  if (exchange->chunked && !exchange->no_body)
    append_chunk (exchange->out, NULL, 0);
  exchange->ended = true;
  flush_of (exchange);
}

void
exchange_abort (exchange_t *exchange)
{
  exchange->aborted = true;
  flush_of (exchange);
}

size_t
exchange_pending (const exchange_t *exchange)
{
  size_t pending = exchange->out != NULL ? exchange->out->len : 0;

  if (exchange->started && exchange->connection != NULL)
    {
      const connection_t *connection = exchange->connection;

      pending += connection->out->len - connection->out_sent;
      if (connection->tail != NULL)
        pending += connection->tail->len;
    }
  return pending;
}

/* An exchange whose caller has left is freed when its answer ends.  */
static void
flush_of (exchange_t *exchange)
{
  connection_t *connection = exchange->connection;

  if (connection == NULL)
    {
      if (exchange->ended || exchange->aborted)
        exchange_free (exchange);
      return;
    }
  connection_flush (connection);
}

static void
start_head (connection_t *connection, exchange_t *exchange)
{
  server_t *server = connection->server;

  exchange->started = true;
  /* A connection ends only behind its last request, so that none of those
     that were handed on is left without an answer.  */
  if (server->draining && connection->exchanges.head->next == NULL
      && connection->reading == NULL && connection->in->len == 0)
    {
      exchange->last = true;
      connection->closing = true;
    }
  if (exchange->last)
    g_string_append (exchange->head, "Connection: close\r\n");
  g_string_append (exchange->head, "\r\n");
  g_byte_array_append (connection->out, (const guint8 *)exchange->head->str,
                       (guint)exchange->head->len);
}

/* Moves output of the oldest exchange into the connection's buffer.  Return:
   whether an exchange ended and the next one may go on.  */
static bool
take_output (connection_t *connection)
{
  exchange_t *exchange = g_queue_peek_head (&connection->exchanges);

  if (exchange == NULL || !exchange->begun || connection->tail != NULL)
    return false;
  if (!exchange->started)
    start_head (connection, exchange);
  if (exchange->out->len > COPY_MAX)
    {
      connection->tail = exchange->out;
      exchange->out = g_byte_array_new ();
    }
  else if (exchange->out->len > 0)
    {
      g_byte_array_append (connection->out, exchange->out->data,
                           exchange->out->len);
      g_byte_array_set_size (exchange->out, 0);
    }
  if (!exchange->ended && !exchange->aborted)
    return false;
  if (exchange->aborted || exchange->last)
    connection->closing = true;
  g_queue_pop_head (&connection->exchanges);
  connection->cut = exchange->aborted;
  exchange_free (exchange);
  return !connection->cut;
}

/* Return: false when the rest has to wait, or the connection is closed.  */
static bool
write_out (connection_t *connection)
{
  while (connection->out_sent < connection->out->len)
    {
      ssize_t n
          = send (connection->fd, connection->out->data + connection->out_sent,
                  connection->out->len - connection->out_sent, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        {
          ev_io_start (connection->server->loop, &connection->writer);
          return false;
        }
      if (n < 0)
        {
          connection_close (connection);
          return false;
        }
      connection->out_sent += (size_t)n;
      connection->active_at = clock_now ();
    }
  connection->out_sent = 0;
  if (connection->tail != NULL || connection->out->len > OUTPUT_MAX)
    {
      g_byte_array_free (connection->out, TRUE);
      connection->out
          = connection->tail != NULL ? connection->tail : g_byte_array_new ();
      connection->tail = NULL;
      return write_out (connection);
    }
  g_byte_array_set_size (connection->out, 0);
  return true;
}

void
connection_flush (connection_t *connection)
{
  server_t *server = connection->server;
  exchange_t *first;
  bool ended = false;

  if (connection->dead || connection->lingering)
    return;
  do
    {
      while (take_output (connection))
        ended = true;
      if (!write_out (connection))
        return;
      first = g_queue_peek_head (&connection->exchanges);
    }
  while (!connection->cut && first != NULL && first->begun
         && (first->out->len > 0 || first->ended || first->aborted));
  ev_io_stop (server->loop, &connection->writer);
  if (connection->cut)
    {
      connection_close (connection);
      return;
    }
  if (first != NULL && first->started && server->hooks.drained != NULL)
    server->hooks.drained (server->hooks.context, first);
  if (connection->dead)
    return;
  if (connection->closing && connection->exchanges.head == NULL)
    shut_down (connection);
  else if (ended)
    connection_resume (connection);
}

/* A close with unread bytes would reset the connection and lose the answer
   on its way; the caller is given time to close first.  */
static void
shut_down (connection_t *connection)
{
  connection->lingering = true;
  connection->active_at = clock_now ();
  if (shutdown (connection->fd, SHUT_WR) != 0)
    connection_close (connection);
}
