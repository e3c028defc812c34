#ifndef PERIDOT_FLEET_WIRE_H
#define PERIDOT_FLEET_WIRE_H

/* Internal to the library: messages to and from the types of the library. */

#include "gen/fleet.h"
#include "members.h"
#include "view.h"

#define WIRE_MAGIC 0x50524632 /* "PRF2" */
/* XDR length of a fleet_wire_request.  */
#define WIRE_REQUEST_SIZE 16

void wire_from_backend (fleet_wire_backend *wire, const backend_entry_t *entry,
                        clock_ms_t cold);
/* Strings of @entry are those of @wire.  */
void wire_to_backend (const fleet_wire_backend *wire, backend_entry_t *entry);

typedef struct wire_request
{
  uint32_t asker;     /* network byte order */
  unsigned int parts; /* sum of FLEET_PART_ */
  uint64_t since;     /* as in fleet_wire_request */
} wire_request_t;

void wire_encode_request (const wire_request_t *request,
                          char data[WIRE_REQUEST_SIZE]);
void wire_decode_request (char data[WIRE_REQUEST_SIZE],
                          wire_request_t *request);

/**
 * wire_snapshot() - encode parts of the state
 * @elsewhere: address of another instance that has what is left out; 0: none
 */
GByteArray *wire_snapshot (const view_t *view, const members_t *members,
                           const wire_request_t *request, uint32_t elsewhere,
                           clock_ms_t now);

/* What another instance sent.  */
typedef struct wire_received
{
  unsigned int included;
  uint32_t elsewhere; /* address for what was left out; 0: none */
  bool agrees;        /* the endpoints are now those of the sender */
} wire_received_t;

/**
 * wire_apply_snapshot() - merge another instance's snapshots, one after the
 * other
 * Return: 0 or -EPROTO.
 */
int wire_apply_snapshot (char *data, size_t length, view_t *view,
                         members_t *members, wire_received_t *received,
                         clock_ms_t now);

#endif
