/* The HTTP server on real sockets of this machine: order of answers, limits,
   ends of connections.  */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call.h"
#include "server.h"
#include "socket.h"

#define EXCHANGES_MAX 32

typedef struct world
{
  struct ev_loop *loop;
  server_t *server;
  struct sockaddr_in address;
  exchange_t *exchanges[EXCHANGES_MAX];
  int count;
  int gone;
  bool echo; /* answers at once with the target */
} world_t;

static void
on_request (void *context, exchange_t *exchange)
{
  world_t *world = context;

  world->exchanges[world->count++] = exchange;
  if (world->echo)
    exchange_answer (exchange, 200, "OK", NULL, exchange->target,
                     strlen (exchange->target));
}

static void
on_gone (void *context, exchange_t *exchange)
{
  world_t *world = context;

  world->gone++;
  exchange_release (exchange);
}

static void
world_start (world_t *world)
{
  server_hooks_t hooks
      = { .request = on_request, .gone = on_gone, .context = world };
  int result = -EADDRINUSE;

  memset (world, 0, sizeof *world);
  world->loop = ev_loop_new (EVFLAG_AUTO);
  for (int port = 21000; result != 0 && port < 21200; port++)
    {
      g_autofree char *text = g_strdup_printf ("127.0.0.1:%d", port);

      g_assert_cmpint (socket_parse_address (text, &world->address), ==, 0);
      world->server
          = server_new (world->loop, &world->address, &hooks, &result);
    }
  g_assert_cmpint (result, ==, 0);
  server_set_limits (world->server, &(server_limits_t){ .header_bytes = 1000,
                                                        .body_bytes = 2000,
                                                        .header_timeout = 300,
                                                        .idle_timeout = 700 });
}

static void
world_end (world_t *world)
{
  server_free (world->server);
  ev_loop_destroy (world->loop);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
turn (world_t *world, int ms)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, ms / 1000.0, 0);
  ev_timer_start (world->loop, &timer);
  ev_run (world->loop, 0);
  ev_timer_stop (world->loop, &timer);
}

static int
join (world_t *world, const char *text)
{
  int fd = socket_connect (&world->address);

  g_assert_cmpint (fd, >=, 0);
  turn (world, 20);
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
  turn (world, 40);
  return fd;
}

/* What has arrived; "(end)" follows when the peer has closed.  */
static char *
take (int fd)
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
expect (int fd, const char *wanted)
{
  g_autofree char *got = take (fd);

  g_assert_cmpstr (got, ==, wanted);
}

/* Guards against answers that are given to the wrong request: three are sent
   at once, the last is answered first.  */
static void
answers_keep_their_order (void)
{
  world_t world;
  int fd;

  world_start (&world);
  fd = join (&world, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
  g_assert_cmpint (world.count, ==, 3);
  exchange_answer (world.exchanges[2], 200, "OK", NULL, "c", 1);
  expect (fd, "");
  exchange_begin (world.exchanges[0], 200, "OK", NULL, -1);
  exchange_write (world.exchanges[0], "aa", 2);
  exchange_answer (world.exchanges[1], 200, "OK", NULL, "b", 1);
  exchange_end (world.exchanges[0]);
  turn (&world, 20);
  expect (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\naa\r\n0\r\n\r\n"
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc");
  close (fd);
  world_end (&world);
}

/* Guards against a cut answer that looks whole.  */
static void
aborted_answer_ends_short (void)
{
  world_t world;
  int fd;

  world_start (&world);
  fd = join (&world, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  exchange_begin (world.exchanges[0], 200, "OK", NULL, -1);
  exchange_write (world.exchanges[0], "aa", 2);
  exchange_abort (world.exchanges[0]);
  turn (&world, 20);
  expect (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\naa\r\n(end)");
  g_assert_cmpint (world.gone, ==, 1);
  close (fd);
  world_end (&world);
}

/* Guards against input that is beyond the limits or no HTTP, and against
   requests smuggled behind two lengths.  */
static void
bad_input_is_refused (void)
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
  world_t world;

  world_start (&world);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd = join (&world, cases[i].text);
      g_autofree char *got = take (fd);
      g_autofree char *wanted
          = g_strdup_printf ("HTTP/1.1 %s ", cases[i].status);

      g_assert_true (g_str_has_prefix (got, wanted));
      g_assert_true (g_str_has_suffix (got, "(end)"));
      close (fd);
    }
  g_assert_cmpint (world.count, ==, 0);
  world_end (&world);
}

/* Guards against header fields that fill the memory.  */
static void
long_header_is_refused (void)
{
  world_t world;
  g_autofree char *filler = g_strnfill (1500, 'x');
  g_autofree char *text
      = g_strdup_printf ("GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", filler);
  int fd;
  g_autofree char *got = NULL;

  world_start (&world);
  fd = join (&world, text);
  got = take (fd);
  g_assert_true (g_str_has_prefix (got, "HTTP/1.1 431 "));
  close (fd);
  world_end (&world);
}

/* Guards against requests lost in a planned stop: a connection ends behind its
   last answer, and says so; an idle one is closed.  */
static void
drained_connections_end_whole (void)
{
  world_t world;
  int busy;
  int idle;

  world_start (&world);
  busy = join (&world, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                       "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  idle = join (&world, "");
  server_drain (world.server);
  exchange_answer (world.exchanges[0], 200, "OK", NULL, "a", 1);
  turn (&world, 20);
  expect (busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  server_close_idle (world.server);
  turn (&world, 20);
  expect (idle, "(end)");
  exchange_answer (world.exchanges[1], 200, "OK", NULL, "b", 1);
  turn (&world, 20);
  expect (busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                "Connection: close\r\n\r\nb(end)");
  close (busy);
  close (idle);
  turn (&world, 700);
  g_assert_cmpint (server_connections (world.server), ==, 0);
  world_end (&world);
}

/* Guards against slots that stay taken by callers that have left.  */
static void
leaving_caller_is_noticed (void)
{
  world_t world;
  int fd;

  world_start (&world);
  fd = join (&world, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  close (fd);
  turn (&world, 20);
  g_assert_cmpint (world.gone, ==, 1);
  g_assert_cmpint (server_connections (world.server), ==, 0);
  world_end (&world);
}

/* Guards against slow or idle callers that hold descriptors.  */
static void
silent_callers_are_closed (void)
{
  world_t world;
  int slow;
  int idle;
  g_autofree char *got = NULL;

  world_start (&world);
  slow = join (&world, "GET /1 HTTP/1.1\r\nHo");
  idle = join (&world, "");
  turn (&world, 1500);
  got = take (slow);
  g_assert_true (g_str_has_prefix (got, "HTTP/1.1 408 "));
  expect (idle, "(end)");
  close (slow);
  close (idle);
  world_end (&world);
}

/* Guards against a request that crosses the close of its idle connection after
   the operator has shortened the idle timeout.  */
static void
shorter_idle_timeout_waits (void)
{
  world_t world;
  int fd;

  world_start (&world);
  server_set_limits (world.server, &(server_limits_t){ .header_bytes = 1000,
                                                       .body_bytes = 2000,
                                                       .header_timeout = 300,
                                                       .idle_timeout = 5000 });
  fd = join (&world, "");
  server_set_limits (world.server, &(server_limits_t){ .header_bytes = 1000,
                                                       .body_bytes = 2000,
                                                       .header_timeout = 300,
                                                       .idle_timeout = 100 });
  turn (&world, 1500);
  expect (fd, "");
  g_assert_cmpint (server_connections (world.server), ==, 1);
  close (fd);
  world_end (&world);
}

/* Guards against a large body that is cut or doubled while the caller reads
   slowly.  */
static void
large_bodies_arrive_whole (void)
{
  world_t world;
  GByteArray *body = g_byte_array_new ();
  GString *got = g_string_new (NULL);
  const char *start;
  int fd;

  for (int i = 0; i < 3000000; i++)
    g_byte_array_append (body, (const guint8 *)&"abcdefg"[i % 7], 1);
  world_start (&world);
  fd = join (&world, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  exchange_answer (world.exchanges[1], 200, "OK", NULL, "end", 3);
  exchange_answer_with (world.exchanges[0], 200, "OK", NULL, body);
  for (int i = 0; i < 400 && !g_str_has_suffix (got->str, "\r\n\r\nend"); i++)
    {
      g_autofree char *piece = NULL;

      turn (&world, 2);
      piece = take (fd);
      g_string_append (got, piece);
    }
  g_assert_true (g_str_has_suffix (got->str, "\r\n\r\nend"));
  start = strstr (got->str, "\r\n\r\n") + 4;
  for (int i = 0; i < 3000000; i++)
    if (start[i] != "abcdefg"[i % 7])
      g_error ("byte %d differs", i);
  g_assert_true (g_str_has_prefix (start + 3000000, "HTTP/1.1 200 OK"));
  g_string_free (got, TRUE);
  close (fd);
  world_end (&world);
}

typedef struct called
{
  int status;
  char *body;
} called_t;

static void
on_called (void *context, int status, const char *body, size_t length)
{
  called_t *called = context;

  called->status = status;
  g_free (called->body);
  called->body = g_strndup (body, length);
}

/* Guards against a call that is sent twice or hangs.  */
static void
calls_end_once (void)
{
  world_t world;
  called_t called = { 0 };
  call_client_t *client;

  world_start (&world);
  world.echo = true;
  client = call_client_new (world.loop, &world.address);
  for (int i = 0; i < 3; i++)
    {
      call_send (client, "GET", "/hello", NULL, 200, on_called, &called);
      turn (&world, 30);
      g_assert_cmpint (called.status, ==, 200);
      g_assert_cmpstr (called.body, ==, "/hello");
    }
  g_assert_cmpint (world.count, ==, 3);
  world.echo = false;
  call_send (client, "GET", "/silent", NULL, 100, on_called, &called);
  turn (&world, 200);
  g_assert_cmpint (called.status, ==, -ETIMEDOUT);
  g_assert_cmpint (world.count, ==, 4);
  g_assert_cmpint (world.gone, ==, 1);
  call_client_free (client);
  g_free (called.body);
  world_end (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/net/answers_keep_their_order", answers_keep_their_order);
  g_test_add_func ("/net/aborted_answer_ends_short",
                   aborted_answer_ends_short);
  g_test_add_func ("/net/bad_input_is_refused", bad_input_is_refused);
  g_test_add_func ("/net/long_header_is_refused", long_header_is_refused);
  g_test_add_func ("/net/drained_connections_end_whole",
                   drained_connections_end_whole);
  g_test_add_func ("/net/leaving_caller_is_noticed",
                   leaving_caller_is_noticed);
  g_test_add_func ("/net/silent_callers_are_closed",
                   silent_callers_are_closed);
  g_test_add_func ("/net/shorter_idle_timeout_waits",
                   shorter_idle_timeout_waits);
  g_test_add_func ("/net/large_bodies_arrive_whole",
                   large_bodies_arrive_whole);
  g_test_add_func ("/net/calls_end_once", calls_end_once);
  return g_test_run ();
}
