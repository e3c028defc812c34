#include "peer_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>

void
inbox_init (inbox_t *inbox)
{
  *inbox = (inbox_t){ .count = 0 };
  pthread_mutex_init (&inbox->lock, NULL);
  pthread_cond_init (&inbox->changed, NULL);
}

void
inbox_clear (inbox_t *inbox)
{
  for (int i = 0; i < inbox->count; i++)
    peer_msg_free (inbox->msgs[i]);
  inbox->count = 0;
}

int
inbox_wait (inbox_t *inbox, int count)
{
  struct timespec deadline;
  int received;

  clock_gettime (CLOCK_REALTIME, &deadline);
  deadline.tv_sec += 5;
  pthread_mutex_lock (&inbox->lock);
  while (inbox->count < count
         && pthread_cond_timedwait (&inbox->changed, &inbox->lock, &deadline)
                == 0)
    continue;
  received = inbox->count;
  pthread_mutex_unlock (&inbox->lock);
  return received;
}

static void
store_message (void *context, decide_id_t from, decide_msg_t *msg)
{
  inbox_t *inbox = context;

  pthread_mutex_lock (&inbox->lock);
  g_assert_cmpint (inbox->count, <, INBOX_MAX);
  inbox->from = from;
  inbox->msgs[inbox->count++] = msg;
  pthread_cond_broadcast (&inbox->changed);
  pthread_mutex_unlock (&inbox->lock);
}

peer_server_t *
start_server (inbox_t *inbox, uint16_t port, clock_ms_t idle_timeout_ms)
{
  char address[32];
  peer_server_options_t options = { .address = address,
                                    .idle_timeout_ms = idle_timeout_ms,
                                    .context = inbox,
                                    .deliver = store_message };
  peer_server_t *server = NULL;

  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  g_assert_cmpint (peer_server_start (&server, &options), ==, 0);
  return server;
}

peer_sender_t *
start_sender (uint16_t port, uint32_t capacity, clock_ms_t confirm_timeout_ms)
{
  char address[32];
  peer_sender_options_t options = { .self = 77,
                                    .address = address,
                                    .capacity = capacity,
                                    .confirm_timeout_ms = confirm_timeout_ms };
  peer_sender_t *sender = NULL;

  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  g_assert_cmpint (peer_sender_start (&sender, &options), ==, 0);
  return sender;
}

decide_msg_t
make_heartbeat (uint64_t sequence)
{
  return (decide_msg_t){ .type = DECIDE_MSG_HEARTBEAT,
                         .u.heartbeat.sequence = sequence };
}

static struct sockaddr_in
make_loopback_address (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

int
connect_to (uint16_t port)
{
  struct sockaddr_in address = make_loopback_address (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  return fd;
}

int
listen_on (uint16_t *port)
{
  struct sockaddr_in address = make_loopback_address (0);
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  g_assert_cmpint (listen (fd, 16), ==, 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  *port = ntohs (address.sin_port);
  return fd;
}
