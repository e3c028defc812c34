#ifndef PERIDOT_PEER_WIRE_H
#define PERIDOT_PEER_WIRE_H

/* Internal: conversion between messages and their XDR form, and functions
   that the server and the sender share.  */

#include "gen/peer.h"
#include "peer.h"

#include <netinet/in.h>
#include <sys/socket.h>

/**
 * peer_msg_check() - check a message that is about to be sent
 * @msg: the message
 *
 * Return: 0, -EINVAL for an unknown type or a count or length out of range,
 * -EMSGSIZE for an object whose body is too large.
 */
int peer_msg_check (const decide_msg_t *msg);

/**
 * peer_msg_copy_compact() - copy a message into as few bytes as it needs
 * @msg: a message that peer_msg_check() accepts
 *
 * The copy has no memory for the part of decide_msg_t that its type does not
 * use, so it must not be copied by assignment.
 *
 * Return: the copy, to be freed with peer_msg_free(), or NULL when out of
 * memory.
 */
decide_msg_t *peer_msg_copy_compact (const decide_msg_t *msg);

/**
 * peer_encode() - convert a message to its wire form
 * @msg: a message that peer_msg_check() accepts
 * @wire: set on success; its members are freed by xdr_free() with
 *   xdr_wire_message()
 *
 * Return: 0 or -ENOMEM.
 */
int peer_encode (const decide_msg_t *msg, wire_message *wire);

/**
 * peer_decode() - check a received message and convert it
 * @wire: the received message
 * @msg: set on success; to be freed with peer_msg_free()
 *
 * Return: 0, -EPROTO for an unknown type or a value out of range, or -ENOMEM.
 */
int peer_decode (const wire_message *wire, decide_msg_t **msg);

typedef struct peer_address
{
  struct sockaddr_storage address;
  socklen_t length;
} peer_address_t;

/* Parses IP:PORT or [IP6]:PORT.  Names are not resolved.  Return: 0 or
   -EINVAL.  */
int peer_address_parse (const char *text, peer_address_t *address);

/* Returns the time of CLOCK_BOOTTIME in ms.  */
clock_ms_t peer_now_ms (void);

#endif
