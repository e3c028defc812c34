#include "connection.h"

#include <errno.h>
#include <poll.h>
#include <string.h>

/* This file has a server loop of its own instead of svc_run() of libtirpc.  In
   the blocking mode of svc_run(), one client that stopped in the middle of a
   record blocked all others for 35 s.  Its non-blocking mode avoids that, but
   the loop and its tables are global to the process, so that a server can't be
   stopped and started again, and connections have no time limits.  Only the
   record streams and the message routines of libtirpc are used.  */

/* Limits of an RPC record: its size, and the time from its first bytes until
   it must be complete.  */
#define RECORD_MAX_BYTES (2 * 1024 * 1024)
#define RECORD_TIMEOUT_MS 5000

/* Returns the idle timeout before a record, or the time left to complete the
   record that is being read.  */
static clock_ms_t
get_read_timeout_ms (const peer_connection_t *connection)
{
  clock_ms_t remaining_ms;

  if (connection->record_bytes == 0)
    return connection->idle_timeout_ms;
  remaining_ms = connection->record_deadline - peer_now_ms ();
  return remaining_ms > 0 ? remaining_ms : 0;
}

/* Read callback of the record stream.  Return: the number of bytes read, or -1
   to end the connection.  */
static int
read_socket (void *handle, void *data, int length)
{
  peer_connection_t *connection = handle;
  struct pollfd pfd = { .fd = connection->fd, .events = POLLIN };
  ssize_t got;

  do
    got = poll (&pfd, 1, (int)get_read_timeout_ms (connection));
  while (got < 0 && errno == EINTR);
  if (got <= 0)
    return -1;
  do
    got = recv (connection->fd, data, (size_t)length, 0);
  while (got < 0 && errno == EINTR);
  if (got <= 0)
    return -1;
  if (connection->record_bytes == 0)
    connection->record_deadline = peer_now_ms () + RECORD_TIMEOUT_MS;
  connection->record_bytes += (size_t)got;
  atomic_fetch_add (&connection->counters->bytes, (uint64_t)got);
  return connection->record_bytes <= RECORD_MAX_BYTES ? (int)got : -1;
}

/* Write callback of the record stream.  The socket's send timeout limits how
   long a send() blocks.  */
static int
write_socket (void *handle, void *data, int length)
{
  peer_connection_t *connection = handle;
  int written = 0;

  while (written < length)
    {
      ssize_t sent = send (connection->fd, (char *)data + written,
                           (size_t)(length - written), MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return -1;
      written += (int)sent;
    }
  return length;
}

static void
deliver_batch (peer_connection_t *connection, const wire_batch *batch)
{
  peer_server_counters_t *counters = connection->counters;

  atomic_fetch_add (&counters->batches, 1);
  for (u_int i = 0; i < batch->messages.messages_len; i++)
    {
      decide_msg_t *msg;

      if (peer_decode (&batch->messages.messages_val[i], &msg) != 0)
        {
          atomic_fetch_add (&counters->rejected, 1);
          continue;
        }
      atomic_fetch_add (&counters->messages, 1);
      connection->deliver (connection->context, batch->sender, msg);
    }
}

static enum accept_stat
dispatch_call (peer_connection_t *connection, XDR *xdrs,
               const struct call_body *call)
{
  wire_batch batch = { .sender = 0 };
  enum accept_stat status = GARBAGE_ARGS;

  if (call->cb_prog != PEER_PROGRAM)
    return PROG_UNAVAIL;
  if (call->cb_vers != PEER_VERSION)
    return PROG_MISMATCH;
  if (call->cb_proc == NULLPROC)
    return SUCCESS;
  if (call->cb_proc != PEER_DELIVER)
    return PROC_UNAVAIL;
  if (xdr_wire_batch (xdrs, &batch))
    {
      deliver_batch (connection, &batch);
      status = SUCCESS;
    }
  else
    atomic_fetch_add (&connection->counters->malformed_calls, 1);
  xdr_free ((xdrproc_t)xdr_wire_batch, &batch);
  return status;
}

static bool
send_reply (XDR *xdrs, uint32_t xid, enum accept_stat status)
{
  struct rpc_msg reply = { .rm_xid = xid, .rm_direction = REPLY };

  reply.rm_reply.rp_stat = MSG_ACCEPTED;
  reply.acpted_rply.ar_verf = _null_auth;
  reply.acpted_rply.ar_stat = status;
  if (status == PROG_MISMATCH)
    {
      reply.acpted_rply.ar_vers.low = PEER_VERSION;
      reply.acpted_rply.ar_vers.high = PEER_VERSION;
    }
  else
    reply.acpted_rply.ar_results.proc = (xdrproc_t)(void (*) (void))xdr_void;
  xdrs->x_op = XDR_ENCODE;
  return xdr_replymsg (xdrs, &reply) && xdrrec_endofrecord (xdrs, TRUE);
}

/* Reads an RPC call, executes it and sends the reply.  Return: false when the
   connection must be closed.  */
static bool
serve_call (peer_connection_t *connection, XDR *xdrs)
{
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg call = { .rm_xid = 0 };
  enum accept_stat status;

  call.rm_call.cb_cred.oa_base = credential;
  call.rm_call.cb_verf.oa_base = verifier;
  connection->record_bytes = 0;
  xdrs->x_op = XDR_DECODE;
  /* When the arguments of the previous RPC could not be decoded, the rest of
     its record is still unread; xdrrec_skiprecord() skips it.  */
  if (!xdrrec_skiprecord (xdrs))
    return false;
  if (!xdr_callmsg (xdrs, &call) || call.rm_call.cb_rpcvers != RPC_MSG_VERSION)
    {
      if (connection->record_bytes > 0)
        atomic_fetch_add (&connection->counters->malformed_calls, 1);
      return false;
    }
  status = dispatch_call (connection, xdrs, &call.rm_call);
  return send_reply (xdrs, call.rm_xid, status);
}

void
peer_connection_serve (peer_connection_t *connection)
{
  XDR xdrs;

  xdrrec_create (&xdrs, 0, 0, connection, read_socket, write_socket);
  while (serve_call (connection, &xdrs))
    continue;
  xdr_destroy (&xdrs);
}
