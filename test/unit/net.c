/* Tests of the HTTP server and client on loopback sockets: order of responses,
   limits, and closing of connections.  */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call.h"
#include "server.h"
#include "socket.h"

#define EXCHANGES_MAX 32
/* Bytes of a large body; more than the buffers of both sockets of a connection
   hold.  */
#define LARGE_BYTES 12000000
/* Bytes of a body that fills the socket of a connection with a small buffer
   for sending, but does not stop the server from reading requests.  */
#define BLOCKING_BYTES 240000

typedef struct fixture
{
  struct ev_loop *loop;
  server_t *server;
  struct sockaddr_in address;           /* of the server */
  exchange_t *exchanges[EXCHANGES_MAX]; /* in the order of the requests */
  int request_count;      /* number of requests that the server has received */
  int disconnected_count; /* number of calls of the disconnected hook */
  bool echo_target; /* the server responds at once, with the request target as
                       body */
} fixture_t;

static void
on_request (void *context, exchange_t *exchange)
{
  fixture_t *fixture = context;

  fixture->exchanges[fixture->request_count++] = exchange;
  if (fixture->echo_target)
    exchange_respond (exchange, 200, "OK", NULL, exchange->target,
                      strlen (exchange->target));
}

static void
on_disconnected (void *context, exchange_t *exchange)
{
  fixture_t *fixture = context;

  fixture->disconnected_count++;
  exchange_release (exchange);
}

static void
fixture_set_up (fixture_t *fixture)
{
  server_hooks_t hooks = { .request = on_request,
                           .disconnected = on_disconnected,
                           .context = fixture };
  int result = -EADDRINUSE;

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  for (int port = 21000; result != 0 && port < 21200; port++)
    {
      g_autofree char *text = g_strdup_printf ("127.0.0.1:%d", port);

      g_assert_cmpint (socket_parse_address (text, &fixture->address), ==, 0);
      fixture->server
          = server_new (fixture->loop, &fixture->address, &hooks, &result);
    }
  g_assert_cmpint (result, ==, 0);
  server_set_limits (fixture->server,
                     &(server_limits_t){ .header_bytes = 1000,
                                         .body_bytes = 2000,
                                         .header_timeout = 300,
                                         .idle_timeout = 700 });
}

static void
fixture_tear_down (fixture_t *fixture)
{
  server_free (fixture->server);
  ev_loop_destroy (fixture->loop);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Runs the event loop for a time.  */
static void
run_loop (fixture_t *fixture, int ms)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, ms / 1000.0, 0);
  ev_timer_start (fixture->loop, &timer);
  ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &timer);
}

/* Connects to the server and sends a text, which the server has read on
   return.  Return: the socket.  */
static int
connect_and_send (fixture_t *fixture, const char *text)
{
  int fd = socket_connect (&fixture->address);

  g_assert_cmpint (fd, >=, 0);
  run_loop (fixture, 20);
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
  run_loop (fixture, 40);
  return fd;
}

/* Returns the bytes that have arrived, followed by "(end)" if the peer has
   closed the connection.  */
static char *
receive_available (int fd)
{
  GString *text = g_string_new (NULL);
  char data[4096];
  ssize_t n;

  while ((n = recv (fd, data, sizeof data, 0)) > 0)
    g_string_append_len (text, data, n);
  if (n == 0)
    g_string_append (text, "(end)");
  return g_string_free (text, FALSE);
}

static void
assert_received (int fd, const char *expected)
{
  g_autofree char *received = receive_available (fd);

  g_assert_cmpstr (received, ==, expected);
}

/* Guards against responses that are sent in another order than the requests,
   so that the client takes them for responses to other requests.  Three
   requests are pipelined, and the handler responds to the last one first.  */
static void
test_response_order (void)
{
  fixture_t fixture;
  int fd;

  fixture_set_up (&fixture);
  fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
  g_assert_cmpint (fixture.request_count, ==, 3);
  exchange_respond (fixture.exchanges[2], 200, "OK", NULL, "c", 1);
  assert_received (fd, "");
  exchange_start_response (fixture.exchanges[0], 200, "OK", NULL, -1);
  exchange_write_body (fixture.exchanges[0], "aa", 2);
  exchange_respond (fixture.exchanges[1], 200, "OK", NULL, "b", 1);
  exchange_end_response (fixture.exchanges[0]);
  run_loop (&fixture, 20);
  assert_received (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\naa\r\n0\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"
                       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc");
  close (fd);
  fixture_tear_down (&fixture);
}

/* Guards against a truncated response that looks complete to the client.  */
static void
test_aborted_response (void)
{
  fixture_t fixture;
  int fd;

  fixture_set_up (&fixture);
  fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  exchange_start_response (fixture.exchanges[0], 200, "OK", NULL, -1);
  exchange_write_body (fixture.exchanges[0], "aa", 2);
  exchange_abort_response (fixture.exchanges[0]);
  run_loop (&fixture, 20);
  assert_received (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\naa\r\n(end)");
  g_assert_cmpint (fixture.disconnected_count, ==, 1);
  close (fd);
  fixture_tear_down (&fixture);
}

/* Returns all that the server sends on a connection to a client that reads
   slowly.  */
static GString *
receive_slowly (fixture_t *fixture, int fd)
{
  GString *received = g_string_new (NULL);

  for (int i = 0; i < 1000 && !g_str_has_suffix (received->str, "(end)"); i++)
    {
      g_autofree char *piece = NULL;

      run_loop (fixture, 2);
      piece = receive_available (fd);
      g_string_append (received, piece);
    }
  return received;
}

/* Guards against a truncated response whose missing bytes are taken from the
   next response, because the socket was full when the first one was aborted
   and the rest of its output was sent later.  */
static void
test_aborted_response_before_others (void)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n"
                             "Content-Length: 12100000\r\n\r\n";
  fixture_t fixture;
  g_autofree char *data = g_strnfill (LARGE_BYTES, 'a');
  GString *received;
  int fd;

  fixture_set_up (&fixture);
  fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  exchange_respond (fixture.exchanges[1], 200, "OK", NULL, "b", 1);
  exchange_start_response (fixture.exchanges[0], 200, "OK", NULL, 12100000);
  exchange_write_body (fixture.exchanges[0], data, LARGE_BYTES);
  g_assert_cmpuint (exchange_unsent_bytes (fixture.exchanges[0]), >, 0);
  exchange_abort_response (fixture.exchanges[0]);
  received = receive_slowly (&fixture, fd);
  g_assert_cmpuint (received->len, ==,
                    strlen (head) + LARGE_BYTES + strlen ("(end)"));
  g_assert_true (g_str_has_prefix (received->str, head));
  g_assert_true (g_str_has_suffix (received->str, "a(end)"));
  g_string_free (received, TRUE);
  close (fd);
  fixture_tear_down (&fixture);
}

/* Guards against input that exceeds the limits or is not HTTP, and against
   request smuggling with two conflicting lengths.  */
static void
test_invalid_input (void)
{
  static const struct
  {
    const char *text;
    const char *status;
  } cases[] = {
    { "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 2001\r\n\r\n", "413" },
    { "\x01\x02\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd",
      "400" },
    { "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "400" },
  };
  fixture_t fixture;

  fixture_set_up (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd = connect_and_send (&fixture, cases[i].text);
      g_autofree char *received = receive_available (fd);
      g_autofree char *expected
          = g_strdup_printf ("HTTP/1.1 %s ", cases[i].status);

      g_assert_true (g_str_has_prefix (received, expected));
      g_assert_true (g_str_has_suffix (received, "(end)"));
      close (fd);
    }
  g_assert_cmpint (fixture.request_count, ==, 0);
  fixture_tear_down (&fixture);
}

/* Guards against header fields that are so long that they exhaust memory.  */
static void
test_long_header (void)
{
  fixture_t fixture;
  g_autofree char *filler = g_strnfill (1500, 'x');
  g_autofree char *text
      = g_strdup_printf ("GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", filler);
  int fd;
  g_autofree char *received = NULL;

  fixture_set_up (&fixture);
  fd = connect_and_send (&fixture, text);
  received = receive_available (fd);
  g_assert_true (g_str_has_prefix (received, "HTTP/1.1 431 "));
  close (fd);
  fixture_tear_down (&fixture);
}

/* Guards against requests that are lost in a graceful shutdown.  A connection
   with pending requests has to stay open until its last response, which has
   "Connection: close"; an idle one is closed by server_close_idle().  */
static void
test_drain (void)
{
  fixture_t fixture;
  int busy_fd;
  int idle_fd;

  fixture_set_up (&fixture);
  busy_fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                        "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  idle_fd = connect_and_send (&fixture, "");
  server_drain (fixture.server);
  exchange_respond (fixture.exchanges[0], 200, "OK", NULL, "a", 1);
  run_loop (&fixture, 20);
  assert_received (busy_fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  server_close_idle (fixture.server);
  run_loop (&fixture, 20);
  assert_received (idle_fd, "(end)");
  exchange_respond (fixture.exchanges[1], 200, "OK", NULL, "b", 1);
  run_loop (&fixture, 20);
  assert_received (busy_fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                            "Connection: close\r\n\r\nb(end)");
  close (busy_fd);
  close (idle_fd);
  run_loop (&fixture, 700);
  g_assert_cmpint (server_connection_count (fixture.server), ==, 0);
  fixture_tear_down (&fixture);
}

/* Guards against requests that occupy a slot of an endpoint for longer than
   needed, because the handler is not told that the client has
   disconnected.  */
static void
test_client_disconnect (void)
{
  fixture_t fixture;
  int fd;

  fixture_set_up (&fixture);
  fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  close (fd);
  run_loop (&fixture, 20);
  g_assert_cmpint (fixture.disconnected_count, ==, 1);
  g_assert_cmpint (server_connection_count (fixture.server), ==, 0);
  fixture_tear_down (&fixture);
}

/* Guards against slow or idle clients that hold file descriptors.  */
static void
test_silent_clients (void)
{
  fixture_t fixture;
  int slow_fd;
  int idle_fd;
  g_autofree char *received = NULL;

  fixture_set_up (&fixture);
  slow_fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHo");
  idle_fd = connect_and_send (&fixture, "");
  run_loop (&fixture, 1500);
  received = receive_available (slow_fd);
  g_assert_true (g_str_has_prefix (received, "HTTP/1.1 408 "));
  assert_received (idle_fd, "(end)");
  close (slow_fd);
  close (idle_fd);
  fixture_tear_down (&fixture);
}

/* Guards against a request that is lost because the server closes the idle
   connection on which the request is just arriving, after the operator has
   shortened the idle timeout.  The old timeout has to apply to open
   connections for some time.  */
static void
test_shortened_idle_timeout (void)
{
  fixture_t fixture;
  int fd;

  fixture_set_up (&fixture);
  server_set_limits (fixture.server,
                     &(server_limits_t){ .header_bytes = 1000,
                                         .body_bytes = 2000,
                                         .header_timeout = 300,
                                         .idle_timeout = 5000 });
  fd = connect_and_send (&fixture, "");
  server_set_limits (fixture.server,
                     &(server_limits_t){ .header_bytes = 1000,
                                         .body_bytes = 2000,
                                         .header_timeout = 300,
                                         .idle_timeout = 100 });
  run_loop (&fixture, 1500);
  assert_received (fd, "");
  g_assert_cmpint (server_connection_count (fixture.server), ==, 1);
  close (fd);
  fixture_tear_down (&fixture);
}

/* Guards against a large body that is truncated or duplicated while the client
   reads slowly.  */
static void
test_large_body (void)
{
  fixture_t fixture;
  GByteArray *body = g_byte_array_new ();
  GString *received = g_string_new (NULL);
  const char *start;
  int fd;

  for (int i = 0; i < 3000000; i++)
    g_byte_array_append (body, (const guint8 *)&"abcdefg"[i % 7], 1);
  fixture_set_up (&fixture);
  fd = connect_and_send (&fixture, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  exchange_respond (fixture.exchanges[1], 200, "OK", NULL, "end", 3);
  exchange_respond_take (fixture.exchanges[0], 200, "OK", NULL, body);
  for (int i = 0; i < 400 && !g_str_has_suffix (received->str, "\r\n\r\nend");
       i++)
    {
      g_autofree char *piece = NULL;

      run_loop (&fixture, 2);
      piece = receive_available (fd);
      g_string_append (received, piece);
    }
  g_assert_true (g_str_has_suffix (received->str, "\r\n\r\nend"));
  start = strstr (received->str, "\r\n\r\n") + 4;
  for (int i = 0; i < 3000000; i++)
    if (start[i] != "abcdefg"[i % 7])
      g_error ("byte %d differs", i);
  g_assert_true (g_str_has_prefix (start + 3000000, "HTTP/1.1 200 OK"));
  g_string_free (received, TRUE);
  close (fd);
  fixture_tear_down (&fixture);
}

/* Result of the last call that has ended, as passed to its callback.  */
typedef struct call_result
{
  int status; /* HTTP status or a negative errno */
  char *body; /* NUL-terminated copy of the response's body */
} call_result_t;

static void
on_call_end (void *context, int status, const char *body, size_t length)
{
  call_result_t *call_result = context;

  call_result->status = status;
  g_free (call_result->body);
  call_result->body = g_strndup (body, length);
}

/* Guards against a call that is sent twice or never ends.  */
static void
test_call_client (void)
{
  fixture_t fixture;
  call_result_t call_result = { 0 };
  call_client_t *client;

  fixture_set_up (&fixture);
  fixture.echo_target = true;
  client = call_client_new (fixture.loop, &fixture.address);
  for (int i = 0; i < 3; i++)
    {
      call_send (client, "GET", "/hello", NULL, 200, on_call_end,
                 &call_result);
      run_loop (&fixture, 30);
      g_assert_cmpint (call_result.status, ==, 200);
      g_assert_cmpstr (call_result.body, ==, "/hello");
    }
  g_assert_cmpint (fixture.request_count, ==, 3);
  fixture.echo_target = false;
  call_send (client, "GET", "/silent", NULL, 100, on_call_end, &call_result);
  run_loop (&fixture, 200);
  g_assert_cmpint (call_result.status, ==, -ETIMEDOUT);
  g_assert_cmpint (fixture.request_count, ==, 4);
  g_assert_cmpint (fixture.disconnected_count, ==, 1);
  call_client_free (client);
  g_free (call_result.body);
  fixture_tear_down (&fixture);
}

/* Creates a request with a body of 50,000 bytes, or only the beginning of
   one.  */
static char *
make_upload (const char *target, gsize length)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "POST %s HTTP/1.1\r\nHost: a\r\n"
                   "Content-Length: 50000\r\n\r\n",
                   target);
  for (gsize i = 0; i < length; i++)
    g_string_append_c (text, (char)('a' + i % 26));
  return g_string_free (text, FALSE);
}

/* Lets the server keep one body of 50,000 bytes in memory.  */
static void
set_up_for_uploads (fixture_t *fixture)
{
  fixture_set_up (fixture);
  server_set_limits (fixture->server,
                     &(server_limits_t){ .header_bytes = 1000,
                                         .body_bytes = 60000,
                                         .header_timeout = 3000,
                                         .idle_timeout = 7000 });
  server_set_body_memory (fixture->server, 80000);
}

/* Guards against bodies that together take more memory than the process has,
   and against a body that is changed because its connection was not read for a
   while.  */
static void
test_body_waits_for_memory (void)
{
  fixture_t fixture;
  g_autofree char *beginning = make_upload ("/1", 1000);
  g_autofree char *whole = make_upload ("/2", 50000);
  const char *body = strstr (whole, "\r\n\r\n") + 4;
  int first;
  int second;
  int small;

  set_up_for_uploads (&fixture);
  first = connect_and_send (&fixture, beginning);
  second = connect_and_send (&fixture, whole);
  g_assert_cmpint (fixture.request_count, ==, 0);
  /* Requests without a body do not wait.  */
  small = connect_and_send (&fixture, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
  g_assert_cmpint (fixture.request_count, ==, 1);
  close (first);
  run_loop (&fixture, 100);
  g_assert_cmpint (fixture.request_count, ==, 2);
  g_assert_cmpstr (fixture.exchanges[1]->target, ==, "/2");
  g_assert_cmpuint (fixture.exchanges[1]->body->len, ==, 50000);
  g_assert_cmpint (memcmp (fixture.exchanges[1]->body->data, body, 50000), ==,
                   0);
  close (second);
  close (small);
  run_loop (&fixture, 20);
  fixture_tear_down (&fixture);
}

/* Guards against a request that waits for memory until its client gives up,
   and against memory that is not given back.  */
static void
test_body_that_waits_is_refused (void)
{
  fixture_t fixture;
  g_autofree char *beginning = make_upload ("/1", 1000);
  g_autofree char *whole = make_upload ("/2", 50000);
  int first;
  int second;

  set_up_for_uploads (&fixture);
  first = connect_and_send (&fixture, beginning);
  second = connect_and_send (&fixture, whole);
  run_loop (&fixture, 1500);
  assert_received (second, "HTTP/1.1 503 Service Unavailable\r\n"
                           "Retry-After: 1\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n(end)");
  close (second);
  close (first);
  for (int i = 0; i < 3; i++)
    {
      int fd = connect_and_send (&fixture, whole);

      run_loop (&fixture, 50);
      g_assert_cmpint (fixture.request_count, ==, i + 1);
      exchange_respond (fixture.exchanges[i], 200, "OK", NULL, NULL, 0);
      run_loop (&fixture, 20);
      close (fd);
    }
  fixture_tear_down (&fixture);
}

/* Guards against an interim response behind a truncated one.  The body of the
   second request waits for memory while the first response is aborted, and the
   client reads so slowly that the memory is free before all was sent.  */
static void
test_aborted_response_before_body (void)
{
  fixture_t fixture;
  g_autofree char *beginning = make_upload ("/1", 1000);
  g_autofree char *data = g_strnfill (LARGE_BYTES, 'a');
  GString *received;
  int first;
  int second;

  set_up_for_uploads (&fixture);
  first = connect_and_send (&fixture, beginning);
  second = connect_and_send (&fixture, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                                       "POST /3 HTTP/1.1\r\nHost: a\r\n"
                                       "Content-Length: 50000\r\n"
                                       "Expect: 100-continue\r\n\r\n");
  g_assert_cmpint (fixture.request_count, ==, 1);
  exchange_start_response (fixture.exchanges[0], 200, "OK", NULL, 12100000);
  exchange_write_body (fixture.exchanges[0], data, LARGE_BYTES);
  g_assert_cmpuint (exchange_unsent_bytes (fixture.exchanges[0]), >, 0);
  exchange_abort_response (fixture.exchanges[0]);
  close (first);
  run_loop (&fixture, 50);
  received = receive_slowly (&fixture, second);
  g_assert_null (strstr (received->str, "100 Continue"));
  g_assert_true (g_str_has_suffix (received->str, "a(end)"));
  g_string_free (received, TRUE);
  close (second);
  fixture_tear_down (&fixture);
}

/* Sends requests for /0, /1 and so on behind one another.  Return: the
   socket.  */
static int
connect_and_send_requests (fixture_t *fixture, int count)
{
  GString *text = g_string_new (NULL);
  int fd;

  for (int i = 0; i < count; i++)
    g_string_append_printf (text, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i);
  fd = connect_and_send (fixture, text->str);
  g_string_free (text, TRUE);
  return fd;
}

/* Guards against a connection that waits for nothing: requests that were kept
   because too many were in progress, while the responses to all of these were
   written at once to a socket that was then full.  */
static void
test_requests_kept_while_socket_is_full (void)
{
  fixture_t fixture;
  g_autofree char *data = g_strnfill (LARGE_BYTES, 'a');
  GString *received;
  int in_progress;
  int fd;

  fixture_set_up (&fixture);
  fd = connect_and_send_requests (&fixture, 24);
  in_progress = fixture.request_count;
  g_assert_cmpint (in_progress, <, 24);
  fixture.echo_target = true;
  exchange_respond (fixture.exchanges[in_progress - 1], 200, "OK", NULL, data,
                    LARGE_BYTES);
  for (int i = in_progress - 2; i >= 0; i--)
    exchange_respond (fixture.exchanges[i], 200, "OK", NULL, "b", 1);
  received = receive_slowly (&fixture, fd);
  g_assert_cmpint (fixture.request_count, ==, 24);
  g_assert_nonnull (strstr (received->str, "\r\n\r\n/23"));
  g_string_free (received, TRUE);
  close (fd);
  fixture_tear_down (&fixture);
}

/* Gives the server's side of a connection a small buffer for sending.  */
static void
shrink_send_buffer (int client_fd)
{
  struct sockaddr_in client = { 0 };
  struct sockaddr_in peer = { 0 };
  socklen_t length = sizeof client;
  int bytes = 4096;

  g_assert_cmpint (
      getsockname (client_fd, (struct sockaddr *)&client, &length), ==, 0);
  for (int fd = 0; fd < 256; fd++)
    {
      length = sizeof peer;
      if (getpeername (fd, (struct sockaddr *)&peer, &length) == 0
          && peer.sin_port == client.sin_port)
        g_assert_cmpint (
            setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes), ==,
            0);
    }
}

/* Guards against an interim response between the head and the body of the
   response before it, while the socket is full.  */
static void
test_interim_response_behind_body (void)
{
  static const char expected[] = "bbbHTTP/1.1 100 Continue\r\n\r\n";
  static const char upload[] = "POST /2 HTTP/1.1\r\nHost: a\r\n"
                               "Content-Length: 2\r\n"
                               "Expect: 100-continue\r\n\r\n";
  fixture_t fixture;
  g_autofree char *first = g_strnfill (BLOCKING_BYTES, 'a');
  g_autofree char *second = g_strnfill (8000, 'b');
  GString *received;
  int fd;

  fixture_set_up (&fixture);
  fd = connect_and_send_requests (&fixture, 2);
  shrink_send_buffer (fd);
  exchange_respond (fixture.exchanges[0], 200, "OK", NULL, first,
                    BLOCKING_BYTES);
  exchange_respond (fixture.exchanges[1], 200, "OK", NULL, second, 8000);
  g_assert_cmpint (send (fd, upload, sizeof upload - 1, MSG_NOSIGNAL), ==,
                   (ssize_t)sizeof upload - 1);
  run_loop (&fixture, 40);
  received = receive_slowly (&fixture, fd);
  g_assert_nonnull (strstr (received->str, expected));
  g_string_free (received, TRUE);
  close (fd);
  fixture_tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/net/answers_keep_their_order", test_response_order);
  g_test_add_func ("/net/aborted_answer_ends_short", test_aborted_response);
  g_test_add_func ("/net/aborted_answer_ends_short_before_others",
                   test_aborted_response_before_others);
  g_test_add_func ("/net/aborted_answer_ends_short_before_body",
                   test_aborted_response_before_body);
  g_test_add_func ("/net/kept_requests_are_resumed",
                   test_requests_kept_while_socket_is_full);
  g_test_add_func ("/net/interim_answer_stands_behind_body",
                   test_interim_response_behind_body);
  g_test_add_func ("/net/bad_input_is_refused", test_invalid_input);
  g_test_add_func ("/net/long_header_is_refused", test_long_header);
  g_test_add_func ("/net/drained_connections_end_whole", test_drain);
  g_test_add_func ("/net/leaving_caller_is_noticed", test_client_disconnect);
  g_test_add_func ("/net/silent_callers_are_closed", test_silent_clients);
  g_test_add_func ("/net/shorter_idle_timeout_waits",
                   test_shortened_idle_timeout);
  g_test_add_func ("/net/large_bodies_arrive_whole", test_large_body);
  g_test_add_func ("/net/calls_end_once", test_call_client);
  g_test_add_func ("/net/body_waits_for_memory", test_body_waits_for_memory);
  g_test_add_func ("/net/body_that_waits_is_refused",
                   test_body_that_waits_is_refused);
  return g_test_run ();
}
