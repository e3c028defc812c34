#include "wire.h"

#include <errno.h>
#include <stdlib.h>

uint8_t *
peer_msg_pack (const decide_msg_t *msg, size_t *length)
{
  wire_message wire = { 0 };
  uint8_t *bytes = NULL;
  u_long size;
  XDR xdr;

  if (peer_msg_check (msg) != 0 || peer_encode (msg, &wire) != 0)
    return NULL;
  size = xdr_sizeof ((xdrproc_t)xdr_wire_message, &wire);
  bytes = malloc (size);
  if (bytes != NULL)
    {
      xdrmem_create (&xdr, (char *)bytes, (u_int)size, XDR_ENCODE);
      if (!xdr_wire_message (&xdr, &wire))
        {
          free (bytes);
          bytes = NULL;
        }
      xdr_destroy (&xdr);
    }
  xdr_free ((xdrproc_t)xdr_wire_message, (char *)&wire);
  *length = size;
  return bytes;
}

int
peer_msg_unpack (const uint8_t *bytes, size_t length, decide_msg_t **msg)
{
  wire_message wire = { 0 };
  int error = -EPROTO;
  XDR xdr;

  xdrmem_create (&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  if (xdr_wire_message (&xdr, &wire))
    error = peer_decode (&wire, msg);
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_wire_message, (char *)&wire);
  return error;
}
