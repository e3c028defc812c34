#include "peer_fixture.h"

#define SENDERS 64

/* Guards against a memory leak when several threads open the first connections
   of a process at the same time: authnone_create() of libtirpc tests whether
   the shared handle exists before it takes the lock.  The test is a program of
   its own, because the race can occur only once in a process.  */
static void
test_connect_together (void)
{
  inbox_t inbox;
  peer_server_t *server;
  peer_sender_t *senders[SENDERS];

  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  for (int i = 0; i < SENDERS; i++)
    senders[i] = start_sender (peer_server_get_port (server), 0, 0);
  for (int i = 0; i < SENDERS; i++)
    {
      decide_msg_t msg = make_heartbeat ((uint64_t)i);

      g_assert_cmpint (peer_sender_put (senders[i], &msg), ==, 0);
    }
  g_assert_cmpint (inbox_wait (&inbox, SENDERS), ==, SENDERS);
  for (int i = 0; i < SENDERS; i++)
    peer_sender_stop (senders[i]);
  peer_server_stop (server);
  inbox_clear (&inbox);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer-first/connect-together", test_connect_together);
  return g_test_run ();
}
