#ifndef PERIDOT_FLEET_WIRE_H
#define PERIDOT_FLEET_WIRE_H

/* Internal to the fleet library: conversion between its types and the messages
   between instances, which are declared in fleet.x and encoded as XDR.  */

#include "config_change.h"
#include "gen/fleet.h"
#include "members.h"
#include "view.h"

/* First field of each datagram, "PRF9" in ASCII.  A datagram that begins with
   another value is ignored.  */
#define WIRE_MAGIC 0x50524639
/* Length of an encoded fleet_wire_request in bytes.  */
#define WIRE_REQUEST_BYTES 32

/* Convert a revision of the store to and from its form in messages.  */
fleet_wire_revision wire_from_revision (store_revision_t revision);
store_revision_t wire_to_revision (fleet_wire_revision wire);

/* Sets @wire to the form that an endpoint has in messages.  The strings are
   not copied, so that @entry must outlive @wire.  @cold: remaining warm-up
   time in ms, which is used instead of @entry->cold.  */
void wire_from_backend (fleet_wire_backend *wire, const backend_entry_t *entry,
                        clock_ms_t cold);
/* Sets @entry to an endpoint that was received in a message.  The strings are
   not copied, so that @wire must outlive @entry.  */
void wire_to_backend (const fleet_wire_backend *wire, backend_entry_t *entry);

/* Sets @wire to what is known of a rollout, which must outlive it.  */
void wire_from_rollout (fleet_wire_rollout *wire, const rollout_t *rollout,
                        clock_ms_t now);
/* Records what another instance tells of a rollout.  */
void wire_apply_rollout (const fleet_wire_rollout *wire, view_t *view,
                         clock_ms_t now);

/* Sets @wire to what an endpoint has stated in its responses.  @backend must
   outlive @wire.  */
void wire_from_limit (fleet_wire_limit *wire, const backend_t *backend,
                      clock_ms_t now);
/* Records what another instance has told of an endpoint's limit and of its
   leaving, unless the endpoint is not known or the values are out of range.
   Return: whether something has changed.  */
bool wire_apply_limit (const fleet_wire_limit *wire, backends_t *backends,
                       clock_ms_t now);

/* A request of one instance for parts of another one's state.  */
typedef struct wire_request
{
  uint32_t asker;          /* address of the requester; network byte order */
  unsigned int parts;      /* requested parts of the state: bit mask of
                              FLEET_PART_CONFIG, FLEET_PART_BACKENDS and
                              FLEET_PART_MEMBERS */
  store_revision_t since;  /* store revision of the requester's endpoints; only
                              later changes are requested; zero: all endpoints
                              are requested */
  uint64_t config_version; /* version of the requester's configuration; only
                              later changes are requested; 0: the whole
                              configuration is requested */
} wire_request_t;

/* Returns the form that a change of the configuration has in messages; free
   with wire_config_free().  The strings are not copied, so that @change must
   outlive it.  */
fleet_wire_config *wire_config_new (const config_change_t *change);
void wire_config_free (fleet_wire_config *wire);
/* Returns a received change of the configuration.  */
config_change_t *wire_config_read (const fleet_wire_config *wire);
/**
 * wire_apply_config() - apply a received change of the configuration
 * Return: 0, also if the view has this version or a newer one; or the error of
 *   config_change_apply().
 */
int wire_apply_config (const fleet_wire_config *wire, view_t *view);

/* Encodes a request.  */
void wire_encode_request (const wire_request_t *request,
                          char data[WIRE_REQUEST_BYTES]);
/* Decodes a request; any bytes of this length are a valid one.  */
void wire_decode_request (char data[WIRE_REQUEST_BYTES],
                          wire_request_t *request);

/**
 * wire_encode_snapshot() - encode the requested parts of the state
 * @request: the parts to encode.  Of the endpoints, only the changes after
 *   @request->since are encoded if the view has all of these changes, and of
 *   the configuration only those after @request->config_version likewise.
 * @redirect_ip: address of another instance that has what is left out of the
 *   snapshot; network byte order; 0: none
 *
 * Return: the encoded snapshot, which is empty if encoding failed; free with
 * g_byte_array_free().
 */
GByteArray *wire_encode_snapshot (const view_t *view, const members_t *members,
                                  const wire_request_t *request,
                                  uint32_t redirect_ip, clock_ms_t now);

/* Summary of the snapshots that wire_apply_snapshot() has applied.  */
typedef struct wire_received
{
  unsigned int included; /* parts of the state that were received: bit mask of
                            FLEET_PART_CONFIG, FLEET_PART_BACKENDS and
                            FLEET_PART_MEMBERS */
  uint32_t elsewhere;    /* if a part was left out, address of another
                            instance that has it; network byte order; 0:
                            none */
  int config_error;      /* why a received configuration was not applied: an
                            error of wire_apply_config(); 0: none */
  bool digest_matches;   /* after applying the last snapshot, the endpoints are
                            equal to those of the sender */
} wire_received_t;

/**
 * wire_apply_snapshot() - decode the snapshots that another instance has sent,
 * and apply them to the view and the members
 * @data: one or more encoded snapshots, one after the other
 * @length: length of @data in bytes
 * @received: out: what the snapshots contained
 *
 * Return: 0, or -EPROTO if @data is empty or one of the snapshots is
 * malformed.  The snapshots before a malformed one stay applied.
 */
int wire_apply_snapshot (char *data, size_t length, view_t *view,
                         members_t *members, wire_received_t *received,
                         clock_ms_t now);

#endif
