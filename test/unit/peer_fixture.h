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
  pthread_mutex_t lock;   /* protects the other members */
  pthread_cond_t changed; /* signalled for each message */
  int count;              /* number of messages in @msgs */
  decide_id_t from;       /* sender of the latest message */
  decide_msg_t *msgs[INBOX_MAX];
} inbox_t;

void inbox_init (inbox_t *inbox);
/* Frees the stored messages.  */
void inbox_clear (inbox_t *inbox);
/* Waits for at most 5 s until @inbox has @count messages.  Return: the number
   of messages in @inbox.  */
int inbox_wait (inbox_t *inbox, int count);

/* Starts a server that listens on the loopback port @port, or on a free port
   if @port is 0, and stores the messages that it receives in @inbox.  If
   @idle_timeout_ms is 0, the default of peer_server_options_t is used.  */
peer_server_t *start_server (inbox_t *inbox, uint16_t port,
                             clock_ms_t idle_timeout_ms);
/* Starts a sender with id 77 to the loopback port @port.  If @capacity (in
   messages) or @confirm_timeout_ms is 0, the default of peer_sender_options_t
   is used.  */
peer_sender_t *start_sender (uint16_t port, uint32_t capacity,
                             clock_ms_t confirm_timeout_ms);
/* Returns a heartbeat with the sequence number @sequence; its other fields
   are 0.  */
decide_msg_t make_heartbeat (uint64_t sequence);

/* Returns a socket that is connected to the loopback port @port.  */
int connect_to (uint16_t port);
/* Returns a socket that listens on a free loopback port, which is stored in
   @port.  */
int listen_on (uint16_t *port);

/* Waits until the member @counter of the statistics of @sender is at least
   @least; fails the test if this takes longer than 5 s.  */
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
