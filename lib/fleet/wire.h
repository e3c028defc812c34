#ifndef PERIDOT_FLEET_WIRE_H
#define PERIDOT_FLEET_WIRE_H

/* Internal to the library: conversion between its types and the messages
   between instances.  */

#include "gen/fleet.h"
#include "members.h"
#include "view.h"

#define WIRE_MAGIC 0x50524632 /* "PRF2" */
/* XDR length of a fleet_wire_request.  */
#define WIRE_REQUEST_BYTES 16

/* Strings of @wire are those of @entry.  @cold: remaining cold time in ms.  */
void wire_from_backend (fleet_wire_backend *wire, const backend_entry_t *entry,
                        clock_ms_t cold);
/* Strings of @entry are those of @wire.  */
void wire_to_backend (const fleet_wire_backend *wire, backend_entry_t *entry);

/* A request for parts of the state.  */
typedef struct wire_request
{
  uint32_t asker;     /* its address; network byte order */
  unsigned int parts; /* sum of FLEET_PART_ */
  uint64_t since;     /* store revision of the requester's endpoints; 0: all
                         endpoints are requested */
} wire_request_t;

void wire_encode_request (const wire_request_t *request,
                          char data[WIRE_REQUEST_BYTES]);
void wire_decode_request (char data[WIRE_REQUEST_BYTES],
                          wire_request_t *request);

/**
 * wire_encode_snapshot() - encode the requested parts of the state
 * @source_ip: address of another instance that has the endpoints if they are
 * left out, in network byte order; 0: none
 *
 * Return: the encoded snapshot, which is empty if encoding failed; free with
 * g_byte_array_free().
 */
GByteArray *wire_encode_snapshot (const view_t *view, const members_t *members,
                                  const wire_request_t *request,
                                  uint32_t source_ip, clock_ms_t now);

/* Summary of the snapshots that were applied.  */
typedef struct wire_received
{
  unsigned int included; /* sum of FLEET_PART_ */
  uint32_t elsewhere;    /* address of an instance that has the endpoints if
                            they were left out; network byte order; 0: none */
  bool digest_matches;   /* the endpoints now equal those of the sender */
} wire_received_t;

/**
 * wire_apply_snapshot() - decode and merge the snapshots that another instance
 * has sent, one after the other
 * Return: 0, or -EPROTO if one of them is malformed; earlier ones then stay
 * applied.
 */
int wire_apply_snapshot (char *data, size_t length, view_t *view,
                         members_t *members, wire_received_t *received,
                         clock_ms_t now);

#endif
