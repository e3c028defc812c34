#include "peer_fixture.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gprintf.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define MANY_DESCRIPTORS 1100

static inbox_t inbox;
static peer_server_t *server;

/* Runs the test function @test with a server and an empty inbox.  */
static void
run_with_server (gconstpointer test)
{
  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  ((void (*) (void))test) ();
  peer_server_stop (server);
  inbox_clear (&inbox);
}

static void
put_heartbeat (peer_sender_t *sender, uint64_t sequence)
{
  decide_msg_t msg = make_heartbeat (sequence);

  g_assert_cmpint (peer_sender_put (sender, &msg), ==, 0);
}

static gint64
get_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Guards against a client that stops sending in the middle of the header or
   the body of a record and thereby delays messages of other clients or the
   shutdown of the server.  */
static void
test_partial (void)
{
  uint16_t port = peer_server_get_port (server);
  int header_fd = connect_to (port);
  int body_fd = connect_to (port);
  gint64 begin = get_ms ();
  peer_sender_t *sender;

  g_assert_cmpint (send (header_fd, "\x80", 1, 0), ==, 1);
  g_assert_cmpint (send (body_fd, "\x80\0\0\x40\0\0\0\1\0", 9, 0), ==, 9);
  sender = start_sender (port, 0, 0);
  put_heartbeat (sender, 1);
  g_assert_cmpint (inbox_wait (&inbox, 1), ==, 1);
  peer_server_stop (server);
  g_assert_cmpint (get_ms () - begin, <, 3000);
  server = start_server (&inbox, port, 0);
  peer_sender_stop (sender);
  close (header_fd);
  close (body_fd);
}

/* Guards against a sender that keeps using the connection to a process that
   has ended, or doesn't reconnect after the process is started again.  */
static void
test_restart (void)
{
  uint16_t port = peer_server_get_port (server);
  peer_sender_t *sender = start_sender (port, 0, 0);
  peer_sender_stats_t stats;

  put_heartbeat (sender, 1);
  g_assert_cmpint (inbox_wait (&inbox, 1), ==, 1);
  WAIT_FOR_STAT (sender, messages, 1);
  peer_server_stop (server);
  server = start_server (&inbox, port, 0);
  put_heartbeat (sender, 2);
  g_assert_cmpint (inbox_wait (&inbox, 2), ==, 2);
  WAIT_FOR_STAT (sender, messages, 2);
  peer_server_stop (server);
  put_heartbeat (sender, 3);
  WAIT_FOR_STAT (sender, failures, 2);
  server = start_server (&inbox, port, 0);
  g_assert_cmpint (inbox_wait (&inbox, 3), ==, 3);
  g_assert_cmpuint (inbox.msgs[2]->u.heartbeat.sequence, ==, 3);
  WAIT_FOR_STAT (sender, messages, 3);
  peer_sender_get_stats (sender, &stats);
  g_assert_cmpuint (stats.reconnects, ==, 2);
  g_assert_cmpuint (stats.dropped_unconfirmed, ==, 0);
  peer_sender_stop (sender);
}

/* Guards against a sender that keeps a connection on which the peer no longer
   replies: after a small batch, and after a batch that does not fit into the
   socket's buffers.  */
static void
test_silent (void)
{
  char *body = g_strnfill (1024 * 1024, 'x');
  decide_msg_t large = { .type = DECIDE_MSG_OBJECT_PUSH,
                         .u.object = { .name = "shared/a", .body = body } };
  int size = 4096;
  uint16_t port;
  int fd = listen_on (&port);
  peer_sender_t *sender;
  int silent[2];
  char data[4096];

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  sender = start_sender (port, 0, 100);
  put_heartbeat (sender, 1);
  silent[0] = accept (fd, NULL, NULL);
  WAIT_FOR_STAT (sender, dropped_unconfirmed, 1);
  g_assert_cmpint (peer_sender_put (sender, &large), ==, 0);
  silent[1] = accept (fd, NULL, NULL);
  WAIT_FOR_STAT (sender, dropped_unconfirmed, 2);
  while (recv (silent[0], data, sizeof data, 0) > 0)
    continue;
  peer_sender_stop (sender);
  close (silent[0]);
  close (silent[1]);
  close (fd);
  g_free (body);
}

/* Guards against SIGPIPE, which would end the process: the peer shuts down its
   sending side and closes the connection while a batch is being written.  */
static void
test_closed_while_sending (void)
{
  char *body = g_strnfill (1024 * 1024, 'x');
  decide_msg_t large = { .type = DECIDE_MSG_OBJECT_PUSH,
                         .u.object = { .name = "shared/a", .body = body } };
  int size = 4096;
  uint16_t port;
  int fd = listen_on (&port);
  peer_sender_t *sender;
  int accepted;
  char byte;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  sender = start_sender (port, 0, 2000);
  g_assert_cmpint (peer_sender_put (sender, &large), ==, 0);
  accepted = accept (fd, NULL, NULL);
  g_assert_cmpint (recv (accepted, &byte, 1, 0), ==, 1);
  shutdown (accepted, SHUT_WR);
  close (accepted);
  WAIT_FOR_STAT (sender, dropped_unconfirmed, 1);
  peer_sender_stop (sender);
  close (fd);
  g_free (body);
}

/* Guards against sending messages that were queued for so long that their
   content is no longer valid.  */
static void
test_old (void)
{
  uint16_t port = peer_server_get_port (server);
  peer_sender_t *sender;

  peer_server_stop (server);
  sender = start_sender (port, 0, 0);
  put_heartbeat (sender, 1);
  put_heartbeat (sender, 2);
  WAIT_FOR_STAT (sender, dropped_expired, 2);
  server = start_server (&inbox, port, 0);
  put_heartbeat (sender, 3);
  g_assert_cmpint (inbox_wait (&inbox, 1), ==, 1);
  g_assert_cmpuint (inbox.msgs[0]->u.heartbeat.sequence, ==, 3);
  peer_sender_stop (sender);
}

/* Guards against peer_sender_put() blocking, or using memory without limit,
   while a peer can't be reached.  */
static void
test_full (void)
{
  uint16_t port = peer_server_get_port (server);
  peer_sender_t *sender;
  peer_sender_stats_t stats;
  decide_msg_t msg = make_heartbeat (1);
  int refused = 0;

  peer_server_stop (server);
  sender = start_sender (port, 4, 0);
  for (int i = 0; i < 20; i++)
    refused += peer_sender_put (sender, &msg) == -EAGAIN;
  peer_sender_get_stats (sender, &stats);
  g_assert_cmpint (refused, >=, 16);
  g_assert_cmpuint (stats.dropped_queue_full, ==, refused);
  peer_sender_stop (sender);
  server = start_server (&inbox, port, 0);
}

/* Guards against a server that keeps connections forever after their client
   has disappeared.  */
static void
test_idle (void)
{
  peer_server_t *other = start_server (&inbox, 0, 50);
  int fd = connect_to (peer_server_get_port (other));
  char byte;

  g_assert_cmpint (recv (fd, &byte, 1, 0), ==, 0);
  close (fd);
  peer_server_stop (other);
}

/* Guards against connections that fail once the process has more than 1,024
   open file descriptors; parts of libtirpc have tables of that size.  */
static void
test_descriptors (void)
{
  struct rlimit limit;
  int fds[MANY_DESCRIPTORS];
  peer_sender_t *sender;

  getrlimit (RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < MANY_DESCRIPTORS + 64)
    {
      g_test_skip ("limit of open descriptors is too low");
      return;
    }
  if (limit.rlim_cur < MANY_DESCRIPTORS + 64)
    limit.rlim_cur = MANY_DESCRIPTORS + 64;
  g_assert_cmpint (setrlimit (RLIMIT_NOFILE, &limit), ==, 0);
  for (int i = 0; i < MANY_DESCRIPTORS; i++)
    fds[i] = fcntl (0, F_DUPFD_CLOEXEC, 0);
  g_assert_cmpint (fds[MANY_DESCRIPTORS - 1], >, 1024);
  sender = start_sender (peer_server_get_port (server), 0, 0);
  put_heartbeat (sender, 1);
  put_heartbeat (sender, 2);
  g_assert_cmpint (inbox_wait (&inbox, 2), ==, 2);
  WAIT_FOR_STAT (sender, messages, 2);
  peer_sender_stop (sender);
  for (int i = 0; i < MANY_DESCRIPTORS; i++)
    close (fds[i]);
}

static atomic_int received;

static void
count_message (void *context, decide_id_t from, decide_msg_t *msg)
{
  (void)context;
  (void)from;
  peer_msg_free (msg);
  atomic_fetch_add (&received, 1);
}

static gint64
get_cpu_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (gint64)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000
         + usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}

/* Measures throughput, CPU time per message and the latency of a single
   message; runs with -m perf only.  */
static void
test_perf (void)
{
  peer_server_options_t options
      = { .address = "127.0.0.1:0", .deliver = count_message };
  decide_msg_t msg
      = { .type = DECIDE_MSG_GRANT_REQUEST, .u.grant = { .pool = 1 } };
  const int batched_count = 500000; /* messages sent in batches */
  const int single_count = 20000;   /* messages sent one at a time */
  peer_server_t *counting = NULL;
  peer_sender_t *sender;
  gint64 time_us; /* start time, then duration */
  gint64 cpu_us;  /* CPU time at the start, then CPU time used */

  g_assert_cmpint (peer_server_start (&counting, &options), ==, 0);
  sender = start_sender (peer_server_get_port (counting), 1024, 0);
  time_us = g_get_monotonic_time ();
  cpu_us = get_cpu_us ();
  for (int i = 0; i < batched_count; i++)
    while (peer_sender_put (sender, &msg) == -EAGAIN)
      g_usleep (100);
  while (atomic_load (&received) < batched_count)
    g_usleep (100);
  time_us = g_get_monotonic_time () - time_us;
  cpu_us = get_cpu_us () - cpu_us;
  g_printf ("batches: %.0f messages/s, %.2f us of CPU per message for both "
            "sides\n",
            batched_count * 1e6 / (double)time_us,
            (double)cpu_us / batched_count);
  time_us = g_get_monotonic_time ();
  for (int i = 1; i <= single_count; i++)
    {
      peer_sender_put (sender, &msg);
      while (atomic_load (&received) < batched_count + i)
        continue;
    }
  time_us = g_get_monotonic_time () - time_us;
  g_printf ("one at a time: %.1f us from put to delivery\n",
            (double)time_us / single_count);
  peer_sender_stop (sender);
  peer_server_stop (counting);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/peer/partial", test_partial, run_with_server);
  g_test_add_data_func ("/peer/restart", test_restart, run_with_server);
  g_test_add_data_func ("/peer/silent", test_silent, run_with_server);
  g_test_add_data_func ("/peer/closed-while-sending",
                        test_closed_while_sending, run_with_server);
  g_test_add_data_func ("/peer/old", test_old, run_with_server);
  g_test_add_data_func ("/peer/full", test_full, run_with_server);
  g_test_add_data_func ("/peer/idle", test_idle, run_with_server);
  g_test_add_data_func ("/peer/descriptors", test_descriptors,
                        run_with_server);
  if (g_test_perf ())
    g_test_add_data_func ("/peer/perf", test_perf, run_with_server);
  return g_test_run ();
}
