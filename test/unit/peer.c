#include "peer_fixture.h"
#include "wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const decide_msg_t heartbeat
    = { .u.heartbeat
        = { .sequence = 1,
            .sent = -2,
            .state = DECIDE_MEMBER_LEAVING,
            .record_version = 3,
            .revision = 4,
            .key_slices = 19,
            .key_copies = 20,
            .has_promise = true,
            .promise = { 19, -20 },
            .acting_count = 2,
            .acting = { { 5, 6, 7, 8 }, { UINT64_MAX, 10, 15, 15 } },
            .load_count = 2,
            .loads = { { 13, 14, 15 }, { 16, UINT16_MAX, 18 } } } };
static const decide_msg_t ack = { .u.ack = { 1, -2, 3, 4, true, true } };
static const decide_msg_t support = { .u.support = { 1, 2, 3, 4, true } };
static const decide_msg_t handover
    = { .u.handover = { 1,
                        2,
                        3,
                        true,
                        2,
                        { { 4, 5, 6, 7, 8 }, { 9, 10, 11, 12, -13 } },
                        1,
                        { { 14, 15, 16, 17, 18, true } } } };
static const decide_msg_t pull = { .u.pull_since = 9 };
static const decide_msg_t object
    = { .u.object = { 1, 2, 3, true, "shared/profile/a", "{\"x\":1}" } };
static const decide_msg_t request = { .u.grant = { .request = 1,
                                                   .pool = 3,
                                                   .priority = 5,
                                                   .left_ms = -6,
                                                   .run_ms = 7,
                                                   .lend_ms = 8 } };
static const decide_msg_t grant = { .u.grant = { .request = 1,
                                                 .grant = 2,
                                                 .pool = 3,
                                                 .endpoint = 4,
                                                 .priority = 5,
                                                 .run_ms = 7,
                                                 .lend_ms = 8,
                                                 .wait_ms = 9,
                                                 .free = 10,
                                                 .queued = 11 } };
static const decide_msg_t refusal
    = { .u.grant = { .request = 1,
                     .pool = 3,
                     .wait_ms = 9,
                     .reason = DECIDE_REASON_STOPPING,
                     .free = 10,
                     .queued = 11 } };
static const decide_msg_t grant_reference
    = { .u.grant = { .request = 1, .grant = 2, .pool = 3 } };
static const decide_msg_t release = {
  .u.release
  = { 1,
      2,
      true,
      { DECIDE_ATTEMPT_UNUSED, 3, 503, 4, { true, 5, 6, 7, true, true, 8 } },
      2,
      { { DECIDE_ATTEMPT_SHED,
          9,
          10,
          11,
          { true, 12, 13, 14, true, true, 15 } },
        { DECIDE_ATTEMPT_BROKEN, 16, 17, 18, { .present = false } } } }
};
static const decide_msg_t key
    = { .u.key = { .request = 1,
                   .runner = 21,
                   .round = 22,
                   .after = 23,
                   .copies = 24,
                   .centre = 2,
                   .slice = 3,
                   .record_version = 4,
                   .key = { { 5, 6 }, 7 },
                   .left_ms = 8,
                   .retention_ms = 9,
                   .status = DECIDE_KEY_FULL,
                   .state = DECIDE_KEY_STATE_NOT_RUN,
                   .more = true,
                   .empty = true,
                   .authoritative = true,
                   .running_ms = 10,
                   .service = 11,
                   .moved_ms = 12,
                   .has_answer = true,
                   .answer = { 201, "text/plain", 3, { 'a', 0, 'c' } } } };

/* Each sample message serves all types from @first to @last, because they use
   the same fields.  get_sample() sets the type and the incarnation.  */
static const struct
{
  decide_msg_type_t first;
  decide_msg_type_t last;
  const decide_msg_t *sample;
} samples[] = {
  { DECIDE_MSG_HEARTBEAT, DECIDE_MSG_HEARTBEAT, &heartbeat },
  { DECIDE_MSG_HEARTBEAT_ACK, DECIDE_MSG_HEARTBEAT_ACK, &ack },
  { DECIDE_MSG_SUPPORT_REQUEST, DECIDE_MSG_SUPPORT_REPLY, &support },
  { DECIDE_MSG_HANDOVER, DECIDE_MSG_HANDOVER_ACK, &handover },
  { DECIDE_MSG_OBJECT_PULL, DECIDE_MSG_OBJECT_PULL, &pull },
  { DECIDE_MSG_OBJECT_PUSH, DECIDE_MSG_OBJECT_PUSH, &object },
  { DECIDE_MSG_GRANT_REQUEST, DECIDE_MSG_GRANT_REQUEST, &request },
  { DECIDE_MSG_GRANT, DECIDE_MSG_GRANT, &grant },
  { DECIDE_MSG_QUEUED, DECIDE_MSG_REFUSED, &refusal },
  { DECIDE_MSG_RELEASE, DECIDE_MSG_RELEASE, &release },
  { DECIDE_MSG_RECALL, DECIDE_MSG_GRANT_CANCEL, &grant_reference },
  { DECIDE_MSG_KEY_CLAIM, DECIDE_MSG_KEY_COLLECT_REPLY, &key },
};

static decide_msg_t
get_sample (decide_msg_type_t type)
{
  size_t i = 0;
  decide_msg_t msg;

  while (type > samples[i].last)
    i++;
  msg = *samples[i].sample;
  msg.type = type;
  msg.incarnation = 1000 + type;
  return msg;
}

/* Guards against a field that is lost or confused with another by encoding and
   decoding, for all types of messages.  Each sample sets all fields that its
   type uses to nonzero values; the only exception is one attempt of the
   release message, which has no load report.  */
static void
test_round_trip (void)
{
  inbox_t inbox;
  peer_server_t *server;
  peer_sender_t *sender;
  int count = 0;

  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  sender = start_sender (peer_server_get_port (server), 0, 0);
  for (decide_msg_type_t type = DECIDE_MSG_HEARTBEAT;
       type <= DECIDE_MSG_KEY_COLLECT_REPLY; type++)
    {
      decide_msg_t msg = get_sample (type);
      decide_msg_t *received;

      g_assert_cmpint (peer_sender_put (sender, &msg), ==, 0);
      g_assert_cmpint (inbox_wait (&inbox, ++count), ==, count);
      received = inbox.msgs[count - 1];
      if (type == DECIDE_MSG_OBJECT_PUSH)
        {
          g_assert_cmpstr (received->u.object.name, ==, msg.u.object.name);
          g_assert_cmpstr (received->u.object.body, ==, msg.u.object.body);
          g_assert_cmpmem (received, offsetof (decide_msg_t, u.object.name),
                           &msg, offsetof (decide_msg_t, u.object.name));
        }
      else
        g_assert_cmpmem (received, sizeof *received, &msg, sizeof msg);
    }
  g_assert_cmpuint (inbox.from, ==, 77);
  peer_sender_stop (sender);
  peer_server_stop (server);
  inbox_clear (&inbox);
}

/* Guards against growth of the messages that are exchanged for each request,
   which are most of the traffic between instances.  Also guards against a
   duration that becomes negative because it does not fit into its field.  */
static void
test_small (void)
{
  static const struct
  {
    decide_msg_type_t type;
    size_t length; /* maximum, in bytes */
  } sizes[]
      = { { DECIDE_MSG_GRANT_REQUEST, 44 }, { DECIDE_MSG_GRANT, 68 },
          { DECIDE_MSG_QUEUED, 44 },        { DECIDE_MSG_REFUSED, 44 },
          { DECIDE_MSG_RECALL, 36 },        { DECIDE_MSG_GRANT_CANCEL, 36 } };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      decide_msg_t msg = get_sample (sizes[i].type);
      size_t length;
      uint8_t *bytes;
      decide_msg_t *received;

      msg.u.grant.left_ms = msg.u.grant.wait_ms = INT64_MAX;
      bytes = peer_msg_pack (&msg, &length);
      g_assert_nonnull (bytes);
      g_assert_cmpuint (length, <=, sizes[i].length);
      g_assert_cmpint (peer_msg_unpack (bytes, length, &received), ==, 0);
      if (sizes[i].type == DECIDE_MSG_GRANT_REQUEST)
        g_assert_cmpint (received->u.grant.left_ms, ==, INT32_MAX);
      else if (sizes[i].type < DECIDE_MSG_RELEASE)
        g_assert_cmpint (received->u.grant.wait_ms, ==, INT32_MAX);
      peer_msg_free (received);
      free (bytes);
    }
}

/* Guards against messages that are reordered, lost or duplicated in full
   batches.  */
static void
test_order (void)
{
  inbox_t inbox;
  peer_server_t *server;
  peer_sender_t *sender;
  peer_sender_stats_t stats;

  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  sender = start_sender (peer_server_get_port (server), 1024, 0);
  for (uint64_t i = 0; i < 1000; i++)
    {
      decide_msg_t msg = make_heartbeat (i);

      g_assert_cmpint (peer_sender_put (sender, &msg), ==, 0);
    }
  g_assert_cmpint (inbox_wait (&inbox, 1000), ==, 1000);
  for (uint64_t i = 0; i < 1000; i++)
    g_assert_cmpuint (inbox.msgs[i]->u.heartbeat.sequence, ==, i);
  WAIT_FOR_STAT (sender, messages, 1000);
  peer_sender_get_stats (sender, &stats);
  g_assert_cmpuint (stats.batches, <, 500);
  g_assert_cmpuint (stats.bytes, >=, 1000 * 48);
  peer_sender_stop (sender);
  peer_server_stop (server);
  inbox_clear (&inbox);
}

/* Guards against an object of the maximum size that is not delivered, and
   against sending a larger object, because that ends the connection.  */
static void
test_large (void)
{
  inbox_t inbox;
  peer_server_t *server;
  peer_sender_t *sender;
  char *body = g_strnfill (1024 * 1024 + 1, 'x');
  decide_msg_t msg = { .type = DECIDE_MSG_OBJECT_PUSH,
                       .u.object = { .name = "shared/a", .body = body } };

  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  sender = start_sender (peer_server_get_port (server), 0, 0);
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EMSGSIZE);
  body[1024 * 1024] = '\0';
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, 0);
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, 0);
  g_assert_cmpint (inbox_wait (&inbox, 2), ==, 2);
  g_assert_cmpstr (inbox.msgs[1]->u.object.body, ==, body);
  peer_sender_stop (sender);
  peer_server_stop (server);
  inbox_clear (&inbox);
  g_free (body);
}

/* Guards against sending messages that the receiver can't decode.  */
static void
test_bad_put (void)
{
  uint16_t port;
  int fd = listen_on (&port);
  peer_sender_t *sender = start_sender (port, 0, 0);
  decide_msg_t msg = get_sample (DECIDE_MSG_KEY_COPY);

  msg.u.key.answer.length = DECIDE_RESPONSE_MAX_BYTES + 1;
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EINVAL);
  msg = get_sample (DECIDE_MSG_KEY_COPY);
  memset (msg.u.key.answer.content_type, 'x', DECIDE_NAME_MAX);
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EINVAL);
  msg = get_sample (DECIDE_MSG_HEARTBEAT);
  msg.u.heartbeat.acting_count = DECIDE_SLICES + 1;
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EINVAL);
  msg = get_sample (DECIDE_MSG_HANDOVER);
  msg.u.handover.grant_count = DECIDE_HANDOVER_GRANTS_MAX + 1;
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EINVAL);
  msg = get_sample (DECIDE_MSG_HANDOVER);
  msg.u.handover.limit_count = DECIDE_HANDOVER_LIMITS_MAX + 1;
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EINVAL);
  msg.type = 23; /* one above the last message type */
  g_assert_cmpint (peer_sender_put (sender, &msg), ==, -EINVAL);
  peer_sender_stop (sender);
  close (fd);
}

static CLIENT *
make_client (uint16_t port)
{
  peer_address_t address;
  struct netbuf buffer = { .buf = &address.address };
  char text[32];
  CLIENT *client;

  g_snprintf (text, sizeof text, "127.0.0.1:%u", port);
  g_assert_cmpint (peer_address_parse (text, &address), ==, 0);
  buffer.len = address.length;
  buffer.maxlen = address.length;
  client = clnt_vc_create (connect_to (port), &buffer, PEER_PROGRAM,
                           PEER_VERSION, 0, 0);
  g_assert_nonnull (client);
  clnt_control (client, CLSET_FD_CLOSE, NULL);
  return client;
}

static enum clnt_stat
call (CLIENT *client, rpcproc_t procedure, xdrproc_t encode_argument,
      void *argument)
{
  struct timeval timeout = { .tv_sec = 5 };

  return clnt_call (client, procedure, encode_argument, argument,
                    (xdrproc_t)(void (*) (void))xdr_void, NULL, timeout);
}

/* Puts one value out of range into each of the first 14 messages.  */
static void
corrupt_messages (wire_message *messages)
{
  messages[0].body.wire_body_u.heartbeat.state = 2;
  messages[1].body.wire_body_u.heartbeat.acting.acting_val[0].slice = 16;
  messages[2].body.wire_body_u.heartbeat.loads.loads_val[0].free = 65536;
  messages[3].body.wire_body_u.handover.centre = DECIDE_DATA_CENTRES_MAX;
  messages[4].body.wire_body_u.grant.priority = 8;
  messages[5].body.wire_body_u.handover.grants.grants_val[0].left_ms
      = INT64_MIN;
  messages[6].body.wire_body_u.release.ends.ends_val[1].result
      = DECIDE_ATTEMPT_CLOSED + 1;
  messages[7].body.wire_body_u.key.status = DECIDE_KEY_FULL + 1;
  messages[8].body.wire_body_u.key.slice = DECIDE_SLICES;
  messages[9].body.type = 23;
  messages[10].body.wire_body_u.request.priority = 8;
  messages[11].body.wire_body_u.grant.queued = 65536;
  messages[12].body.wire_body_u.refusal.free = 65536;
  messages[13].body.wire_body_u.refusal.reason = DECIDE_REASON_STOPPING + 1;
}

/* Guards against values out of range that reach the decision library, against
   dropping the rest of a batch because of one invalid message, and against
   closing the connection because of a call that can't be decoded.  */
static void
test_corrupted (void)
{
  static const decide_msg_type_t types[]
      = { DECIDE_MSG_HEARTBEAT, DECIDE_MSG_HEARTBEAT,     DECIDE_MSG_HEARTBEAT,
          DECIDE_MSG_HANDOVER,  DECIDE_MSG_GRANT,         DECIDE_MSG_HANDOVER,
          DECIDE_MSG_RELEASE,   DECIDE_MSG_KEY_COPY,      DECIDE_MSG_KEY_COPY,
          DECIDE_MSG_RECALL,    DECIDE_MSG_GRANT_REQUEST, DECIDE_MSG_GRANT,
          DECIDE_MSG_QUEUED,    DECIDE_MSG_REFUSED,       DECIDE_MSG_RECALL };
  wire_message messages[G_N_ELEMENTS (types)];
  wire_batch batch = { 5, { G_N_ELEMENTS (types), messages } };
  u_int garbage = UINT_MAX;
  inbox_t inbox;
  peer_server_t *server;
  peer_server_stats_t stats;
  CLIENT *client;

  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  client = make_client (peer_server_get_port (server));
  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    {
      decide_msg_t msg = get_sample (types[i]);

      g_assert_cmpint (peer_encode (&msg, &messages[i]), ==, 0);
    }
  corrupt_messages (messages);
  g_assert_cmpint (call (client, PEER_DELIVER, (xdrproc_t)xdr_u_int, &garbage),
                   ==, RPC_CANTDECODEARGS);
  g_assert_cmpint (call (client, 99, (xdrproc_t)xdr_u_int, &garbage), ==,
                   RPC_PROCUNAVAIL);
  g_assert_cmpint (
      call (client, PEER_DELIVER, (xdrproc_t)xdr_wire_batch, &batch), ==,
      RPC_SUCCESS);
  g_assert_cmpint (inbox.count, ==, 1);
  g_assert_cmpint (inbox.msgs[0]->type, ==, DECIDE_MSG_RECALL);
  peer_server_get_stats (server, &stats);
  g_assert_cmpuint (stats.rejected, ==, 14);
  g_assert_cmpuint (stats.malformed_calls, ==, 1);
  g_assert_cmpuint (stats.connections, ==, 1);
  clnt_destroy (client);
  peer_server_stop (server);
  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    xdr_free ((xdrproc_t)xdr_wire_message, &messages[i]);
  inbox_clear (&inbox);
}

/* Guards against an RPC record that never ends and so takes memory or time
   without limit.  */
static void
test_endless (void)
{
  /* The fields are: header of a last fragment of 2^31 - 1 bytes, xid, CALL,
     RPC version, program, version, procedure, no credentials (two words), no
     verifier (two words), sender (two words), and the number of messages.  */
  uint32_t header[] = { htonl (UINT32_MAX),
                        1,
                        0,
                        htonl (2),
                        htonl (PEER_PROGRAM),
                        htonl (1),
                        htonl (1),
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        UINT32_MAX };
  static char chunk[65536];
  inbox_t inbox;
  peer_server_t *server;
  peer_server_stats_t stats;
  size_t sent = 0;
  int fd;

  inbox_init (&inbox);
  server = start_server (&inbox, 0, 0);
  fd = connect_to (peer_server_get_port (server));
  g_assert_cmpint (send (fd, header, sizeof header, 0), ==, sizeof header);
  while (sent < 64 * 1024 * 1024
         && send (fd, chunk, sizeof chunk, MSG_NOSIGNAL) > 0)
    sent += sizeof chunk;
  g_assert_cmpuint (sent, <, 64 * 1024 * 1024);
  peer_server_get_stats (server, &stats);
  g_assert_cmpuint (stats.bytes, <=, 3 * 1024 * 1024);
  g_assert_cmpuint (stats.malformed_calls, ==, 1);
  close (fd);
  peer_server_stop (server);
}

/* Guards against a malformed address that is accepted as a different one, a
   host name that is resolved, and a port in use that is not reported.  */
static void
test_address (void)
{
  static const char *const bad[]
      = { "",           "127.0.0.1",   ":1",
          "127.0.0.1:", "127.0.0.1:x", "localhost:1",
          "[::1:1",     "::1]:1" };
  peer_server_options_t options = { .address = "[::1]:0" };
  peer_sender_options_t sender_options = { .self = 1 };
  peer_server_t *server = NULL;
  peer_sender_t *sender = NULL;
  peer_address_t address;
  uint16_t port;
  int fd = listen_on (&port);
  char text[32];

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      options.address = bad[i];
      sender_options.address = bad[i];
      g_assert_cmpint (peer_server_start (&server, &options), ==, -EINVAL);
      g_assert_cmpint (peer_sender_start (&sender, &sender_options), ==,
                       -EINVAL);
    }
  g_assert_cmpint (peer_address_parse ("[::1]:7", &address), ==, 0);
  g_assert_cmpint (address.address.ss_family, ==, AF_INET6);
  g_snprintf (text, sizeof text, "127.0.0.1:%u", port);
  options.address = text;
  g_assert_cmpint (peer_server_start (&server, &options), ==, -EADDRINUSE);
  close (fd);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer/round-trip", test_round_trip);
  g_test_add_func ("/peer/small", test_small);
  g_test_add_func ("/peer/order", test_order);
  g_test_add_func ("/peer/large", test_large);
  g_test_add_func ("/peer/bad-put", test_bad_put);
  g_test_add_func ("/peer/corrupted", test_corrupted);
  g_test_add_func ("/peer/endless", test_endless);
  g_test_add_func ("/peer/address", test_address);
  return g_test_run ();
}
