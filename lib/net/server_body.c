/* Memory for request bodies.  Each body above a small size is given its memory
   before it is read; while there is none, its connection is not read, so that
   the client's side of the connection fills up and holds the rest back.  A
   body that has its memory never waits again, so that it is always
   completed.  */

#include "server_private.h"

/* A body up to this size needs no memory of the limit: the head and the
   buffers of its connection take about as much.  */
#define FREE_BODY_BYTES 16384
/* Memory that a body of unknown length is given at first.  */
#define CHUNKED_BODY_BYTES (256 << 10)
/* Longest wait for memory.  A request that was not read for a second is given
   up by its client.  */
#define BODY_WAIT_MAX_MS 800

static size_t bytes_needed (const connection_t *connection);
static void take (exchange_t *exchange, size_t bytes);
static void start_reading_body (connection_t *connection);

/* Returns the number of bytes of memory that the body of the request that is
   being received needs.  */
static size_t
bytes_needed (const connection_t *connection)
{
  const http_parser *parser = &connection->parser;
  size_t bytes = 0;

  if ((parser->flags & F_CHUNKED) != 0)
    bytes = MIN (CHUNKED_BODY_BYTES,
                 (size_t)connection->server->limits.body_bytes);
  else if (parser->content_length != ULLONG_MAX)
    bytes = (size_t)parser->content_length;
  return bytes > FREE_BODY_BYTES ? bytes : 0;
}

static void
take (exchange_t *exchange, size_t bytes)
{
  server_t *server = exchange->connection->server;

  if (exchange->body_bytes == 0)
    {
      exchange->body_owner = server;
      exchange->body_link.data = exchange;
      g_queue_push_tail_link (&server->bodies, &exchange->body_link);
    }
  exchange->body_bytes += bytes;
  server->body_bytes += bytes;
}

/* Allocates the body and allows the client to send it.  */
static void
start_reading_body (connection_t *connection)
{
  exchange_t *exchange = connection->incoming;
  size_t bytes = bytes_needed (connection);

  if (bytes > 0)
    {
      take (exchange, bytes);
      g_byte_array_free (exchange->body, TRUE);
      exchange->body = g_byte_array_sized_new ((guint)bytes);
    }
  if (exchange_header_value (exchange, "Expect") != NULL
      && connection->exchanges.head == NULL && !connection->truncated)
    {
      static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
      GByteArray *last = connection->output_body != NULL
                             ? connection->output_body
                             : connection->output;

      g_byte_array_append (last, (const guint8 *)continue_response,
                           sizeof continue_response - 1);
      connection_flush (connection);
    }
}

bool
body_begin (connection_t *connection)
{
  server_t *server = connection->server;
  size_t bytes = bytes_needed (connection);

  /* A body larger than the limit is read when no other one is.  */
  if (bytes == 0 || server->body_bytes_max == 0
      || (server->waiting_bodies.head == NULL
          && (server->body_bytes == 0
              || server->body_bytes + bytes <= server->body_bytes_max)))
    {
      start_reading_body (connection);
      return true;
    }
  connection->waits_for_body = true;
  connection->body_wait_started_at = clock_now ();
  connection->body_link.data = connection;
  g_queue_push_tail_link (&server->waiting_bodies, &connection->body_link);
  return false;
}

void
body_grow (exchange_t *exchange, size_t bytes)
{
  /* The body has begun, so that its growth cannot be refused.  */
  if (exchange->body_bytes > 0 && bytes > exchange->body_bytes)
    take (exchange, bytes - exchange->body_bytes);
}

void
body_release (exchange_t *exchange)
{
  server_t *server = exchange->body_owner;

  if (server == NULL)
    return;
  server->body_bytes -= exchange->body_bytes;
  g_queue_unlink (&server->bodies, &exchange->body_link);
  exchange->body_owner = NULL;
  exchange->body_bytes = 0;
}

void
body_stop_waiting (connection_t *connection)
{
  if (!connection->waits_for_body)
    return;
  connection->waits_for_body = false;
  g_queue_unlink (&connection->server->waiting_bodies, &connection->body_link);
}

bool
body_has_waited_too_long (const connection_t *connection, clock_ms_t now)
{
  return connection->waits_for_body
         && now - connection->body_wait_started_at >= BODY_WAIT_MAX_MS;
}

void
body_resume_waiting (server_t *server)
{
  connection_t *connection;

  while (server->waiting_bodies.head != NULL)
    {
      connection = server->waiting_bodies.head->data;
      if (server->body_bytes > 0
          && server->body_bytes + bytes_needed (connection)
                 > server->body_bytes_max)
        return;
      body_stop_waiting (connection);
      start_reading_body (connection);
      connection_resume (connection);
    }
}

void
body_forget_all (server_t *server)
{
  while (server->bodies.head != NULL)
    body_release (server->bodies.head->data);
}
