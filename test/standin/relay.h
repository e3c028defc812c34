#ifndef PERIDOT_STANDIN_RELAY_H
#define PERIDOT_STANDIN_RELAY_H

/* TCP relay between pairs of a listening port and a target, with faults.  */

#include <json-c/json.h>
#include <stdbool.h>

typedef struct relay relay_t;

/* Starts a relay without pairs; exits on failure.  */
relay_t *relay_new (void);

/**
 * relay_add() - listen for connections to a target
 * @port: 0 takes a free one
 * @target: IP:PORT
 *
 * Return: the port, or a negative errno.  Called before relay_start().
 */
int relay_add (relay_t *relay, int port, const char *target);

void relay_start (relay_t *relay);
int relay_count (const relay_t *relay);

/**
 * relay_control() - change the faults of one pair
 * @value: cut, delay_ms, freeze, truncate_after, half_open, target
 *
 * Return: 0, -ENOENT when there is no such pair, -EINVAL.
 */
int relay_control (relay_t *relay, int pair, json_object *value);

/* Ports, targets, open connections and bytes of all pairs.  */
json_object *relay_report (relay_t *relay);

void relay_free (relay_t *relay);

#endif
