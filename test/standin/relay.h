#ifndef PERIDOT_STANDIN_RELAY_H
#define PERIDOT_STANDIN_RELAY_H

/* TCP proxy with fault injection.  Each pair of the proxy is a listening port
   and the address of the target to which it forwards connections.  */

#include <json-c/json.h>
#include <stdbool.h>

typedef struct relay relay_t;

/* Creates a relay without pairs; exits on failure.  */
relay_t *relay_new (void);

/**
 * relay_add_pair() - listen on loopback for connections to a target
 * @port: port to listen on; 0 takes a free one
 * @target: IP:PORT
 *
 * Called before relay_start().
 *
 * Return: the port, or a negative errno: -ENOSPC if there are too many pairs,
 *   -EINVAL if @target is not an address, or that of a failed system call.
 */
int relay_add_pair (relay_t *relay, int port, const char *target);

/* Starts the thread that forwards the connections; exits on failure.  */
void relay_start (relay_t *relay);

int relay_pair_count (const relay_t *relay);

/**
 * relay_configure_pair() - change the faults or the target of one pair
 * @pair: index of the pair, in the order in which they were added
 * @value: members to change:
 *   cut: true resets all connections and refuses new ones, false accepts them
 *     again
 *   delay_ms: delay that is added in each direction
 *   freeze: "existing" stops forwarding on all open connections, "all" on new
 *     ones too; "none" resumes it; the connections stay open
 *   truncate_after: number of bytes to the client after which a connection is
 *     closed, counted from this change; negative: no limit
 *   half_open: true resets the connections to the target; those of the clients
 *     stay open without traffic
 *   target: IP:PORT for new connections
 *
 * Return: 0, -ENOENT if there is no such pair, or -EINVAL if target or freeze
 *   has an invalid value.
 */
int relay_configure_pair (relay_t *relay, int pair, json_object *value);

/* Returns the ports, numbers of connections and received bytes of all pairs
   as a JSON array, to be released by the caller.  */
json_object *relay_to_json (relay_t *relay);

/* Stops the thread, closes all connections and frees the relay.  */
void relay_free (relay_t *relay);

#endif
