#ifndef PERIDOT_PEER_H
#define PERIDOT_PEER_H

/* Messages between instances, sent as ONC RPC over TCP without rpcbind.
   Delivery is at most once: a message may be lost, but a sender does not
   deliver it twice.  */

#include "decide.h"

typedef struct peer_server peer_server_t;
typedef struct peer_sender peer_sender_t;

/* Limits of a batch, which one RPC carries.  A single message larger than
   PEER_BATCH_MAX_BYTES is sent in a batch of its own.  */
#define PEER_BATCH_MAX_MESSAGES 64
#define PEER_BATCH_MAX_BYTES 32768

/* Default timeout for connecting, and for the RPC reply that confirms a
   batch.  */
#define PEER_CONFIRM_TIMEOUT_MS 1000
/* A message that has been queued for longer is dropped.  */
#define PEER_MESSAGE_MAX_AGE_MS 1000

/* Callback that receives a message from the instance @from.  Each
   connection has a thread that calls it for the messages in the order of
   sending; calls for different connections run concurrently.  The callback
   owns @msg, frees it with peer_msg_free() and must not block.  */
typedef void (*peer_deliver_t) (void *context, decide_id_t from,
                                decide_msg_t *msg);

typedef struct peer_server_options
{
  const char *address; /* IP:PORT or [IP6]:PORT; with port 0 the kernel
                          chooses a free port */
  /* A connection on which no record begins for this time is closed; 0 means
     10,000.  */
  clock_ms_t idle_timeout_ms;
  void *context; /* passed to @deliver */
  peer_deliver_t deliver;
} peer_server_options_t;

typedef struct peer_server_stats
{
  uint64_t connections;     /* accepted since the start */
  uint64_t open;            /* connections open now */
  uint64_t batches;         /* received */
  uint64_t messages;        /* delivered */
  uint64_t bytes;           /* received */
  uint64_t rejected;        /* messages with an unknown type or a bad field */
  uint64_t malformed_calls; /* RPC calls that could not be decoded */
} peer_server_stats_t;

/**
 * peer_server_start() - listen for peers and deliver their messages
 * @server: the new server; set on success only
 * @options: needed only during the call
 *
 * Each connection has a thread of its own, so that a client that stops in the
 * middle of a record doesn't delay the others.
 *
 * Return: 0, -EINVAL for a malformed address, -ENOMEM, or the negative error
 * number of socket(), bind(), listen() or pthread_create().
 */
int peer_server_start (peer_server_t **server,
                       const peer_server_options_t *options);

/* Closes all connections, waits for the threads to end and frees the server;
   NULL is allowed.  */
void peer_server_stop (peer_server_t *server);

/* Returns the port that the server listens on.  */
uint16_t peer_server_get_port (const peer_server_t *server);

/* Reads the counters of the server.  Any thread may call it.  */
void peer_server_get_stats (peer_server_t *server, peer_server_stats_t *stats);

typedef struct peer_sender_options
{
  decide_id_t self;    /* id of the sending instance */
  const char *address; /* IP:PORT or [IP6]:PORT of the peer */
  /* Size of the mailbox of queued messages, as for mailbox_new(): a power of
     two; 0 means 1,024.  */
  uint32_t capacity;
  clock_ms_t confirm_timeout_ms; /* 0 means PEER_CONFIRM_TIMEOUT_MS */
} peer_sender_options_t;

typedef struct peer_sender_stats
{
  uint64_t messages; /* in confirmed batches */
  uint64_t batches;  /* confirmed */
  uint64_t bytes;    /* of the same messages as XDR, without RPC framing */
  uint64_t dropped_queue_full; /* the mailbox was full, or encoding failed */
  /* Messages queued for longer than PEER_MESSAGE_MAX_AGE_MS.  */
  uint64_t dropped_expired;
  uint64_t dropped_unconfirmed; /* in batches that were not confirmed */
  uint64_t reconnects;          /* connections opened after the first */
  uint64_t failures;            /* failed connects and unconfirmed batches */
} peer_sender_stats_t;

/**
 * peer_sender_start() - start the thread that sends to one peer
 * @sender: the new sender; set on success only
 * @options: needed only during the call
 *
 * Return: 0, -EINVAL for a malformed address, -ENOMEM, or the negative error
 * number of pthread_create().
 */
int peer_sender_start (peer_sender_t **sender,
                       const peer_sender_options_t *options);

/* Drops queued messages, closes the connection, waits for the thread to end
   and frees the sender.  The wait takes at most about the confirmation
   timeout.  NULL is allowed.  */
void peer_sender_stop (peer_sender_t *sender);

/**
 * peer_sender_put() - queue a message for sending; never blocks
 * @sender: sender of the peer
 * @msg: the message, which is copied
 *
 * Return: 0, -EAGAIN when the mailbox is full (the message is dropped and
 * counted), -EINVAL for an unknown type or a count or length out of
 * range, -EMSGSIZE for an object with a body above 1 MiB, or -ENOMEM.
 */
int peer_sender_put (peer_sender_t *sender, const decide_msg_t *msg);

/* Reads the counters of the sender.  Any thread may call it.  */
void peer_sender_get_stats (peer_sender_t *sender, peer_sender_stats_t *stats);

/**
 * peer_msg_copy() - copy a message and the strings that it points to
 * @msg: the message
 *
 * Return: the copy, to be freed with peer_msg_free(), or NULL when out of
 * memory or when the message is not valid.
 */
decide_msg_t *peer_msg_copy (const decide_msg_t *msg);

/**
 * peer_msg_pack() - encode a message as XDR, for recordings
 * @msg: the message
 * @length: set to the size of the encoded message in bytes
 *
 * Return: the encoded message, to be freed with free(), or NULL when out of
 * memory or when the message is not valid.
 */
uint8_t *peer_msg_pack (const decide_msg_t *msg, size_t *length);

/**
 * peer_msg_unpack() - decode a message that peer_msg_pack() encoded
 * @bytes: the encoded message
 * @length: size of @bytes
 * @msg: the message, to be freed with peer_msg_free()
 *
 * Return: 0, -EPROTO when @bytes do not hold a valid message, or -ENOMEM.
 */
int peer_msg_unpack (const uint8_t *bytes, size_t length, decide_msg_t **msg);

/* Frees a message that was copied, decoded or delivered; NULL is allowed.  */
void peer_msg_free (decide_msg_t *msg);

#endif
