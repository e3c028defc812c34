#ifndef PERIDOT_PEER_FIXTURE_H
#define PERIDOT_PEER_FIXTURE_H

/* Test fixture: a peer server that stores the messages that it receives.  */

#include "peer.h"

#include <glib.h>
#include <pthread.h>

#define INBOX_MAX 1024

/* Messages that a server has received.  */
typedef struct inbox
{
  pthread_mutex_t lock;
  pthread_cond_t changed; /* signalled for each message */
  int count;
  decide_id_t from; /* sender of the latest message */
  decide_msg_t *msgs[INBOX_MAX];
} inbox_t;

void inbox_init (inbox_t *inbox);
/* Frees the stored messages.  */
void inbox_clear (inbox_t *inbox);
/* Waits for at most 5 s until there are @count messages.  Return: the number
   of messages.  */
int inbox_wait (inbox_t *inbox, int count);

/* Start a server, or a sender with id 77, on a loopback address.  The other
   parameters are as in the options; 0 means the default.  */
peer_server_t *start_server (inbox_t *inbox, uint16_t port,
                             clock_ms_t idle_timeout_ms);
peer_sender_t *start_sender (uint16_t port, uint32_t capacity,
                             clock_ms_t confirm_timeout_ms);
decide_msg_t make_heartbeat (uint64_t sequence);

/* Returns a socket that is connected to a loopback port.  */
int connect_to (uint16_t port);
/* Returns a socket that listens on a free loopback port, which is stored in
   @port.  */
int listen_on (uint16_t *port);

/* Waits until the member @counter of the sender's statistics is at least
   @least, and fails the test after 5 s.  */
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
