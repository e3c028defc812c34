#include "call.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

/* Greatest number of bytes that one read from the connection returns.  */
#define READ_BUFFER_BYTES 16384
/* Limit of the length of a response body.  A call whose response has a longer
   body fails with -EPROTO.  */
#define BODY_MAX_BYTES (64 << 20)

/* Limits of the parts of a name and of a value of a header field that are
   compared and kept.  */
#define NAME_MAX_BYTES 256
#define VALUE_MAX_BYTES 256

struct call_client
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  char host[32];   /* value of the Host header field */
  int fd;          /* socket; -1: not connected */
  bool connecting; /* a connect is in progress */
  ev_io read_watcher;
  ev_io write_watcher;
  ev_timer timer; /* ends the call at its timeout, or reports @connect_error */
  http_parser parser;
  GString *request;          /* encoded request of the current call */
  size_t request_sent_bytes; /* number of bytes of @request that were sent */
  GByteArray *response_body; /* part of the response body received so far */
  bool busy;                 /* a call is in progress */
  bool keep_alive;   /* the connection can be reused after the response */
  int connect_error; /* negative errno of a connect that failed at once; 0:
                        none.  The timer passes it to @callback, which must not
                        be called before call_send() returns.  */
  const char *selected_name; /* name of the field that call_get_field()
                                returns; NULL: none */
  GString *field_name;       /* name of the field that is being read */
  GString *field_value;      /* value of the field that is being read */
  bool in_field_value;       /* a part of that value was read */
  GString *selected_value;   /* value of the selected field so far */
  int selected_count;        /* number of selected fields in the response */
  call_callback_t callback;  /* receives the result of the current call */
  void *context;             /* passed to @callback */
};

static void start_request (call_client_t *client);
static void disconnect (call_client_t *client);
static void finish_call (call_client_t *client, int status);
static void fail_call (call_client_t *client, int error);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timeout (struct ev_loop *loop, ev_timer *watcher, int events);
static int on_field_name (http_parser *parser, const char *data,
                          size_t length);
static int on_field_value (http_parser *parser, const char *data,
                           size_t length);
static int on_headers_complete (http_parser *parser);
static void finish_field (call_client_t *client);
static int on_body (http_parser *parser, const char *data, size_t length);
static int on_message_complete (http_parser *parser);

static const http_parser_settings parser_settings
    = { .on_header_field = on_field_name,
        .on_header_value = on_field_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_message_complete };

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
  client->request = g_string_new (NULL);
  client->response_body = g_byte_array_new ();
  client->field_name = g_string_new (NULL);
  client->field_value = g_string_new (NULL);
  client->selected_value = g_string_new (NULL);
  ev_init (&client->timer, on_timeout);
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
  g_string_free (client->request, TRUE);
  g_byte_array_free (client->response_body, TRUE);
  g_string_free (client->field_name, TRUE);
  g_string_free (client->field_value, TRUE);
  g_string_free (client->selected_value, TRUE);
  g_free (client);
}

void
call_select_field (call_client_t *client, const char *name)
{
  client->selected_name = name;
}

const char *
call_get_field (const call_client_t *client)
{
  if (client->selected_count > 1)
    return NULL;
  return client->selected_count == 1 ? client->selected_value->str : "";
}

bool
call_is_busy (const call_client_t *client)
{
  return client->busy;
}

void
call_send (call_client_t *client, const char *method, const char *target,
           const char *body, clock_ms_t timeout, call_callback_t callback,
           void *context)
{
  g_assert (!client->busy);
  client->busy = true;
  client->callback = callback;
  client->context = context;
  client->connect_error = 0;
  g_string_printf (client->request, "%s %s HTTP/1.1\r\nHost: %s\r\n", method,
                   target, client->host);
  if (body != NULL)
    g_string_append_printf (client->request,
                            "Content-Type: application/json\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            strlen (body), body);
  else
    g_string_append (client->request, "\r\n");
  ev_timer_set (&client->timer, (double)timeout / 1000.0, 0);
  ev_timer_start (client->loop, &client->timer);
  start_request (client);
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

/* Connects if the client is not connected, and starts to send the request.  */
static void
start_request (call_client_t *client)
{
  client->request_sent_bytes = 0;
  g_byte_array_set_size (client->response_body, 0);
  g_string_truncate (client->field_name, 0);
  g_string_truncate (client->field_value, 0);
  client->in_field_value = false;
  client->selected_count = 0;
  if (client->fd < 0)
    {
      int fd = socket_connect (&client->address);

      if (fd < 0)
        {
          client->connect_error = fd;
          ev_timer_stop (client->loop, &client->timer);
          ev_timer_set (&client->timer, 0.001, 0);
          ev_timer_start (client->loop, &client->timer);
          return;
        }
      client->fd = fd;
      client->connecting = true;
      ev_io_init (&client->read_watcher, on_readable, fd, EV_READ);
      ev_io_init (&client->write_watcher, on_writable, fd, EV_WRITE);
      client->read_watcher.data = client;
      client->write_watcher.data = client;
    }
  http_parser_init (&client->parser, HTTP_RESPONSE);
  client->parser.data = client;
  ev_io_start (client->loop, &client->read_watcher);
  ev_io_start (client->loop, &client->write_watcher);
}

static void
disconnect (call_client_t *client)
{
  if (client->fd < 0)
    return;
  ev_io_stop (client->loop, &client->read_watcher);
  ev_io_stop (client->loop, &client->write_watcher);
  close (client->fd);
  client->fd = -1;
}

static void
finish_call (call_client_t *client, int status)
{
  client->busy = false;
  ev_timer_stop (client->loop, &client->timer);
  client->callback (client->context, status,
                    (const char *)client->response_body->data,
                    client->response_body->len);
}

/* Ends a call with an error.  The call is not retried here, as only the
   function that started it knows whether it is safe to send the request
   twice.  */
static void
fail_call (call_client_t *client, int error)
{
  disconnect (client);
  if (client->busy)
    finish_call (client, error);
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
          fail_call (client, error);
          return;
        }
      client->connecting = false;
    }
  n = send (client->fd, client->request->str + client->request_sent_bytes,
            client->request->len - client->request_sent_bytes, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      fail_call (client, -errno);
      return;
    }
  if (n > 0)
    client->request_sent_bytes += (size_t)n;
  if (client->request_sent_bytes == client->request->len)
    ev_io_stop (loop, &client->write_watcher);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  call_client_t *client = watcher->data;
  char data[READ_BUFFER_BYTES];
  ssize_t n = recv (client->fd, data, sizeof data, 0);
  size_t parsed;

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0 || !client->busy)
    {
      fail_call (client, n < 0 ? -errno : -ECONNRESET);
      return;
    }
  client->keep_alive = false;
  parsed = http_parser_execute (&client->parser, &parser_settings, data,
                                (size_t)n);
  if (HTTP_PARSER_ERRNO (&client->parser) == HPE_PAUSED)
    {
      int status = (int)client->parser.status_code;

      /* Bytes that follow the response belong to no call, so the connection
         cannot be reused.  */
      if (!client->keep_alive || parsed != (size_t)n)
        disconnect (client);
      finish_call (client, status);
      return;
    }
  if (HTTP_PARSER_ERRNO (&client->parser) != HPE_OK)
    {
      disconnect (client);
      finish_call (client, -EPROTO);
    }
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  call_client_t *client = watcher->data;

  (void)loop;
  (void)events;
  if (client->connect_error != 0)
    finish_call (client, client->connect_error);
  else
    fail_call (client, -ETIMEDOUT);
}

static int
on_field_name (http_parser *parser, const char *data, size_t length)
{
  call_client_t *client = parser->data;

  if (client->in_field_value)
    finish_field (client);
  if (client->selected_name != NULL
      && client->field_name->len < NAME_MAX_BYTES)
    g_string_append_len (client->field_name, data, (gssize)length);
  return 0;
}

static int
on_field_value (http_parser *parser, const char *data, size_t length)
{
  call_client_t *client = parser->data;

  client->in_field_value = true;
  if (client->selected_name != NULL
      && client->field_value->len < VALUE_MAX_BYTES)
    g_string_append_len (client->field_value, data, (gssize)length);
  return 0;
}

/* Keeps the field whose name and value have been read if it is the selected
   one.  */
static void
finish_field (call_client_t *client)
{
  if (client->selected_name != NULL
      && g_ascii_strcasecmp (client->field_name->str, client->selected_name)
             == 0)
    {
      g_string_assign (client->selected_value,
                       g_strchomp (client->field_value->str));
      client->selected_count++;
    }
  g_string_truncate (client->field_name, 0);
  g_string_truncate (client->field_value, 0);
  client->in_field_value = false;
}

static int
on_headers_complete (http_parser *parser)
{
  finish_field (parser->data);
  return 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  call_client_t *client = parser->data;

  if (client->response_body->len + length > BODY_MAX_BYTES)
    return -1;
  g_byte_array_append (client->response_body, (const guint8 *)data,
                       (guint)length);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  call_client_t *client = parser->data;

  client->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}
