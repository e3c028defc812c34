#include "connection.h"

#include <errno.h>
#include <poll.h>
#include <string.h>

/* libtirpc's server loop (svc_run) is not used.  In its blocking mode one
   client that stopped in the middle of a record held up all others for 35 s.
   In its non-blocking mode it didn't, but the loop and its tables belong to
   the process, so that a server can't be stopped and started again, and
   connections have no time limits.  The record streams and message routines
   are libtirpc's.  */

#define RECORD_MAX (2 * 1024 * 1024)
#define RECORD_MS 5000

static clock_ms_t
get_timeout (const connection_t *connection)
{
  clock_ms_t left;

  if (connection->record_bytes == 0)
    return connection->idle_ms;
  left = connection->record_by - peer_now ();
  return left > 0 ? left : 0;
}

/* Called by the record stream.  Return: bytes read, or -1 to end.  */
static int
read_some (void *handle, void *data, int length)
{
  connection_t *connection = handle;
  struct pollfd pfd = { .fd = connection->fd, .events = POLLIN };
  ssize_t got;

  do
    got = poll (&pfd, 1, (int)get_timeout (connection));
  while (got < 0 && errno == EINTR);
  if (got <= 0)
    return -1;
  do
    got = recv (connection->fd, data, (size_t)length, 0);
  while (got < 0 && errno == EINTR);
  if (got <= 0)
    return -1;
  if (connection->record_bytes == 0)
    connection->record_by = peer_now () + RECORD_MS;
  connection->record_bytes += (size_t)got;
  atomic_fetch_add (&connection->counters->bytes, (uint64_t)got);
  return connection->record_bytes <= RECORD_MAX ? (int)got : -1;
}

/* The socket's send timeout bounds the wait.  */
static int
write_some (void *handle, void *data, int length)
{
  connection_t *connection = handle;
  int done = 0;

  while (done < length)
    {
      ssize_t sent = send (connection->fd, (char *)data + done,
                           (size_t)(length - done), MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return -1;
      done += (int)sent;
    }
  return length;
}

static void
deliver (connection_t *connection, const wire_batch *batch)
{
  counters_t *counters = connection->counters;

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
dispatch (connection_t *connection, XDR *xdrs, const struct call_body *call)
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
      deliver (connection, &batch);
      status = SUCCESS;
    }
  else
    atomic_fetch_add (&connection->counters->garbage, 1);
  xdr_free ((xdrproc_t)xdr_wire_batch, &batch);
  return status;
}

static bool
reply (XDR *xdrs, uint32_t xid, enum accept_stat status)
{
  struct rpc_msg answer = { .rm_xid = xid, .rm_direction = REPLY };

  answer.rm_reply.rp_stat = MSG_ACCEPTED;
  answer.acpted_rply.ar_verf = _null_auth;
  answer.acpted_rply.ar_stat = status;
  if (status == PROG_MISMATCH)
    {
      answer.acpted_rply.ar_vers.low = PEER_VERSION;
      answer.acpted_rply.ar_vers.high = PEER_VERSION;
    }
  else
    answer.acpted_rply.ar_results.proc = (xdrproc_t)(void (*) (void))xdr_void;
  xdrs->x_op = XDR_ENCODE;
  return xdr_replymsg (xdrs, &answer) && xdrrec_endofrecord (xdrs, TRUE);
}

static bool
serve_call (connection_t *connection, XDR *xdrs)
{
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg call = { .rm_xid = 0 };
  enum accept_stat status;

  call.rm_call.cb_cred.oa_base = credential;
  call.rm_call.cb_verf.oa_base = verifier;
  connection->record_bytes = 0;
  xdrs->x_op = XDR_DECODE;
  /* Skips what a call that could not be decoded left.  */
  if (!xdrrec_skiprecord (xdrs))
    return false;
  if (!xdr_callmsg (xdrs, &call) || call.rm_call.cb_rpcvers != RPC_MSG_VERSION)
    {
      if (connection->record_bytes > 0)
        atomic_fetch_add (&connection->counters->garbage, 1);
      return false;
    }
  status = dispatch (connection, xdrs, &call.rm_call);
  return reply (xdrs, call.rm_xid, status);
}

void
peer_connection_serve (connection_t *connection)
{
  XDR xdrs;

  xdrrec_create (&xdrs, 0, 0, connection, read_some, write_some);
  while (serve_call (connection, &xdrs))
    continue;
  xdr_destroy (&xdrs);
}
