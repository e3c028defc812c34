#ifndef PERIDOT_PEER_FIXTURE_H
#define PERIDOT_PEER_FIXTURE_H

/* A peer server that keeps what it receives, for tests.  */

#include "peer.h"

#include <glib.h>
#include <pthread.h>

#define INBOX_MAX 1024

typedef struct inbox
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int count;
  decide_id_t from;
  decide_msg_t *msgs[INBOX_MAX];
} inbox_t;

void inbox_init (inbox_t *inbox);
void inbox_clear (inbox_t *inbox);
/* Waits for at most 5 s.  Return: the number of messages.  */
int inbox_wait (inbox_t *inbox, int count);

peer_server_t *start_server (inbox_t *inbox, uint16_t port,
                             clock_ms_t idle_ms);
peer_sender_t *start_sender (uint16_t port, uint32_t capacity,
                             clock_ms_t confirm_ms);
decide_msg_t make_heartbeat (uint64_t sequence);

/* Return: a socket connected to, or listening on, a loopback port.  */
int connect_to (uint16_t port);
int listen_on (uint16_t *port);

/* Waits for at most 5 s until @counter of the sender's statistics reaches
   @least.  */
#define WAIT_FOR_STAT(sender, counter, least)                                 \
  G_STMT_START                                                                \
  {                                                                           \
    peer_sender_stats_t stats_;                                               \
    gint64 end_ = g_get_monotonic_time () + 5000000;                          \
    do                                                                        \
      {                                                                       \
        g_usleep (1000);                                                      \
        peer_sender_get_stats (sender, &stats_);                              \
      }                                                                       \
    while (stats_.counter < (least) && g_get_monotonic_time () < end_);       \
    g_assert_cmpuint (stats_.counter, >=, (least));                           \
  }                                                                           \
  G_STMT_END

#endif
