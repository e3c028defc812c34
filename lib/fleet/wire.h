#ifndef PERIDOT_FLEET_WIRE_H
#define PERIDOT_FLEET_WIRE_H

/* Internal to the library: messages to and from the types of the library. */

#include "gen/fleet.h"
#include "members.h"
#include "view.h"

#define WIRE_MAGIC 0x50524631 /* "PRF1" */

void wire_from_backend (fleet_wire_backend *wire, const backend_entry_t *entry,
                        clock_ms_t cold);
/* Strings of @entry are those of @wire.  */
void wire_to_backend (const fleet_wire_backend *wire, backend_entry_t *entry);

/* Return: XDR of the parts, a sum of FLEET_PART_.  */
GByteArray *wire_snapshot (const view_t *view, const members_t *members,
                           unsigned int parts, clock_ms_t now);

/**
 * wire_apply_snapshot() - merge another instance's statement
 * Return: 0 or -EPROTO.
 */
int wire_apply_snapshot (char *data, size_t length, view_t *view,
                         members_t *members, clock_ms_t now);

#endif
