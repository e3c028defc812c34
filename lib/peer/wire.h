#ifndef PERIDOT_PEER_WIRE_H
#define PERIDOT_PEER_WIRE_H

/* Internal: conversion between messages and their XDR form, and parts that
   server and sender share.  */

#include "gen/peer.h"
#include "peer.h"

#include <netinet/in.h>
#include <sys/socket.h>

/**
 * peer_msg_check() - check what is about to be sent
 * Return: 0, -EINVAL for an unknown type or a count out of range, -EMSGSIZE
 * for an object that is too large.
 */
int peer_msg_check (const decide_msg_t *msg);

/* As peer_msg_copy(), without memory for the unused part of the message.  */
decide_msg_t *peer_msg_copy_compact (const decide_msg_t *msg);

/**
 * peer_encode() - convert a message that peer_msg_check() accepts
 * @wire: ended with xdr_free() and xdr_wire_message
 * Return: 0 or -ENOMEM.
 */
int peer_encode (const decide_msg_t *msg, wire_message *wire);

/**
 * peer_decode() - convert and check a received message
 * @msg: ended with peer_msg_free()
 * Return: 0, -EPROTO for an unknown type or a value out of range, -ENOMEM.
 */
int peer_decode (const wire_message *wire, decide_msg_t **msg);

typedef struct peer_address
{
  struct sockaddr_storage address;
  socklen_t length;
} peer_address_t;

/* Return: 0 or -EINVAL.  */
int peer_address_parse (const char *text, peer_address_t *address);

/* Milliseconds of CLOCK_BOOTTIME.  */
clock_ms_t peer_now (void);

#endif
