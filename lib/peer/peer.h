#ifndef PERIDOT_PEER_H
#define PERIDOT_PEER_H

/* Messages between instances: ONC RPC over TCP without rpcbind.  A message
   may be lost; it is not delivered twice by the same sender.  */

#include "decide.h"

typedef struct peer_server peer_server_t;
typedef struct peer_sender peer_sender_t;

#define PEER_BATCH_MESSAGES 64
#define PEER_BATCH_BYTES 32768
#define PEER_CONFIRM_MS 1000
#define PEER_MESSAGE_AGE_MS 1000

/* Takes a message of an instance; called by a thread of the server, for one
   connection in the order of sending.  The callee owns @msg and ends it with
   peer_msg_free(); it doesn't block.  */
typedef void (*peer_deliver_t) (void *context, decide_id_t from,
                                decide_msg_t *msg);

typedef struct peer_server_options
{
  const char *address; /* IP:PORT or [IP6]:PORT; port 0 chooses one */
  clock_ms_t idle_ms;  /* a silent connection is closed after; 0: 10,000 */
  void *context;
  peer_deliver_t deliver;
} peer_server_options_t;

typedef struct peer_server_stats
{
  uint64_t connections; /* accepted */
  uint64_t open;        /* now */
  uint64_t batches;
  uint64_t messages; /* delivered */
  uint64_t bytes;    /* received */
  uint64_t rejected; /* messages with an unknown type or a bad field */
  uint64_t garbage;  /* calls that could not be decoded */
} peer_server_stats_t;

/**
 * peer_server_start() - listen and deliver messages
 * @server: the new server
 * @options: copied
 *
 * Each connection has a thread of its own, so that a client that stops in the
 * middle of a record holds up no other.
 *
 * Return: 0, -EINVAL for a malformed address, -ENOMEM, or the negative error
 * number of socket(), bind(), listen() or pthread_create().
 */
int peer_server_start (peer_server_t **server,
                       const peer_server_options_t *options);

/* Closes all connections and waits for the threads; NULL is allowed.  */
void peer_server_stop (peer_server_t *server);

/* Returns the port that the server listens on.  */
uint16_t peer_server_get_port (const peer_server_t *server);

void peer_server_get_stats (peer_server_t *server, peer_server_stats_t *stats);

typedef struct peer_sender_options
{
  decide_id_t self;      /* id of the sending instance */
  const char *address;   /* IP:PORT of the peer */
  uint32_t capacity;     /* waiting messages; a power of two; 0: 1,024 */
  clock_ms_t confirm_ms; /* 0: PEER_CONFIRM_MS */
} peer_sender_options_t;

typedef struct peer_sender_stats
{
  uint64_t messages; /* in confirmed batches */
  uint64_t batches;  /* confirmed */
  uint64_t bytes;    /* of the messages sent, before framing */
  uint64_t dropped_full;
  uint64_t dropped_old;     /* waited for longer than PEER_MESSAGE_AGE_MS */
  uint64_t dropped_unknown; /* in batches that were not confirmed */
  uint64_t reconnects;      /* connections opened after the first */
  uint64_t failures;        /* failed connects, unconfirmed batches */
} peer_sender_stats_t;

/**
 * peer_sender_start() - start the thread that sends to one peer
 * @sender: the new sender
 * @options: copied
 *
 * Return: 0, -EINVAL for a malformed address, -ENOMEM, or the negative error
 * number of pthread_create().
 */
int peer_sender_start (peer_sender_t **sender,
                       const peer_sender_options_t *options);

/* Drops waiting messages, closes the connection and waits for the thread, at
   most about the confirmation time; NULL is allowed.  */
void peer_sender_stop (peer_sender_t *sender);

/**
 * peer_sender_put() - hand a message over for sending; never blocks
 * @sender: sender of the peer
 * @msg: copied
 *
 * Return: 0, -EAGAIN when too many messages wait (the message is dropped and
 * counted), -EINVAL for an unknown type or a count out of range, -EMSGSIZE
 * for an object above 1 MiB, -ENOMEM.
 */
int peer_sender_put (peer_sender_t *sender, const decide_msg_t *msg);

void peer_sender_get_stats (peer_sender_t *sender, peer_sender_stats_t *stats);

/**
 * peer_msg_copy() - copy a message with its texts
 * Return: the copy, to be ended with peer_msg_free(), or NULL when out of
 * memory or when the message is not valid.
 */
decide_msg_t *peer_msg_copy (const decide_msg_t *msg);

/**
 * peer_msg_pack() - XDR form of a message, for recordings
 * @length: bytes of the result
 * Return: bytes to be freed with free(), or NULL when out of memory or when
 * the message is not valid.
 */
uint8_t *peer_msg_pack (const decide_msg_t *msg, size_t *length);

/* Return: 0, -EPROTO for bytes that are not a message, or -ENOMEM.  */
int peer_msg_unpack (const uint8_t *bytes, size_t length, decide_msg_t **msg);

/* Frees a message of peer_msg_copy() or of a delivery; NULL is allowed.  */
void peer_msg_free (decide_msg_t *msg);

#endif
