#include "call.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

#define READ_SIZE 16384
#define BODY_MAX (64 << 20)

struct call_client
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  char host[32];
  int fd; /* -1: not connected */
  bool connecting;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  http_parser parser;
  GString *out;
  size_t out_done;
  GByteArray *in;
  bool busy;
  bool keep;
  int error; /* reported by the timer when the call could not start */
  call_done_t done;
  void *context;
};

static void start (call_client_t *client);
static void disconnect (call_client_t *client);
static void finish (call_client_t *client, int status);
static void fail (call_client_t *client, int error);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static int on_body (http_parser *parser, const char *data, size_t length);
static int on_complete (http_parser *parser);

static const http_parser_settings parser_settings
    = { .on_body = on_body, .on_message_complete = on_complete };

call_client_t *
call_client_new (struct ev_loop *loop, const struct sockaddr_in *address)
{
  call_client_t *client = g_new0 (call_client_t, 1);
  const uint8_t *ip = (const uint8_t *)&address->sin_addr;

  client->loop = loop;
  client->address = *address;
  (void)g_snprintf (client->host, sizeof client->host, "%u.%u.%u.%u:%u", ip[0],
                    ip[1], ip[2], ip[3], ntohs (address->sin_port));
  client->fd = -1;
  client->out = g_string_new (NULL);
  client->in = g_byte_array_new ();
  ev_init (&client->timer, on_timer);
  client->timer.data = client;
  return client;
}

void
call_client_free (call_client_t *client)
{
  if (client == NULL)
    return;
  call_cancel (client);
  disconnect (client);
  g_string_free (client->out, TRUE);
  g_byte_array_free (client->in, TRUE);
  g_free (client);
}

bool
call_is_busy (const call_client_t *client)
{
  return client->busy;
}

void
call_send (call_client_t *client, const char *method, const char *target,
           const char *body, clock_ms_t timeout, call_done_t done,
           void *context)
{
  g_assert (!client->busy);
  client->busy = true;
  client->done = done;
  client->context = context;
  client->error = 0;
  g_string_printf (client->out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method,
                   target, client->host);
  if (body != NULL)
    g_string_append_printf (client->out,
                            "Content-Type: application/json\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            strlen (body), body);
  else
    g_string_append (client->out, "\r\n");
  ev_timer_set (&client->timer, (double)timeout / 1000.0, 0);
  ev_timer_start (client->loop, &client->timer);
  start (client);
}

void
call_cancel (call_client_t *client)
{
  if (!client->busy)
    return;
  client->busy = false;
  ev_timer_stop (client->loop, &client->timer);
  disconnect (client);
}

/* Connects when needed, and sends.  */
static void
start (call_client_t *client)
{
  client->out_done = 0;
  g_byte_array_set_size (client->in, 0);
  if (client->fd < 0)
    {
      int fd = socket_connect (&client->address);

      if (fd < 0)
        {
          client->error = fd;
          ev_timer_stop (client->loop, &client->timer);
          ev_timer_set (&client->timer, 0.001, 0);
          ev_timer_start (client->loop, &client->timer);
          return;
        }
      client->fd = fd;
      client->connecting = true;
      ev_io_init (&client->reader, on_readable, fd, EV_READ);
      ev_io_init (&client->writer, on_writable, fd, EV_WRITE);
      client->reader.data = client;
      client->writer.data = client;
    }
  http_parser_init (&client->parser, HTTP_RESPONSE);
  client->parser.data = client;
  ev_io_start (client->loop, &client->reader);
  ev_io_start (client->loop, &client->writer);
}

static void
disconnect (call_client_t *client)
{
  if (client->fd < 0)
    return;
  ev_io_stop (client->loop, &client->reader);
  ev_io_stop (client->loop, &client->writer);
  close (client->fd);
  client->fd = -1;
}

static void
finish (call_client_t *client, int status)
{
  client->busy = false;
  ev_timer_stop (client->loop, &client->timer);
  client->done (client->context, status, (const char *)client->in->data,
                client->in->len);
}

/* Nothing is sent again here: what a cut call means differs between calls. */
static void
fail (call_client_t *client, int error)
{
  disconnect (client);
  if (client->busy)
    finish (client, error);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  call_client_t *client = watcher->data;
  ssize_t n;

  (void)events;
  if (client->connecting)
    {
      int error = socket_connect_result (client->fd);

      if (error != 0)
        {
          fail (client, error);
          return;
        }
      client->connecting = false;
    }
  n = send (client->fd, client->out->str + client->out_done,
            client->out->len - client->out_done, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      fail (client, -errno);
      return;
    }
  if (n > 0)
    client->out_done += (size_t)n;
  if (client->out_done == client->out->len)
    ev_io_stop (loop, &client->writer);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  call_client_t *client = watcher->data;
  char data[READ_SIZE];
  ssize_t n = recv (client->fd, data, sizeof data, 0);
  size_t parsed;

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0 || !client->busy)
    {
      fail (client, n < 0 ? -errno : -ECONNRESET);
      return;
    }
  client->keep = false;
  parsed = http_parser_execute (&client->parser, &parser_settings, data,
                                (size_t)n);
  if (HTTP_PARSER_ERRNO (&client->parser) == HPE_PAUSED)
    {
      int status = (int)client->parser.status_code;

      /* Bytes behind the answer belong to no call.  */
      if (!client->keep || parsed != (size_t)n)
        disconnect (client);
      finish (client, status);
      return;
    }
  if (HTTP_PARSER_ERRNO (&client->parser) != HPE_OK)
    {
      disconnect (client);
      finish (client, -EPROTO);
    }
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  call_client_t *client = watcher->data;

  (void)loop;
  (void)events;
  if (client->error != 0)
    finish (client, client->error);
  else
    fail (client, -ETIMEDOUT);
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  call_client_t *client = parser->data;

  if (client->in->len + length > BODY_MAX)
    return -1;
  g_byte_array_append (client->in, (const guint8 *)data, (guint)length);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  call_client_t *client = parser->data;

  client->keep = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}
