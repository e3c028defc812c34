#ifndef PERIDOT_KEYS_WORLD_H
#define PERIDOT_KEYS_WORLD_H

/* Simulated cluster for the tests of idempotency keys: instances with their
   key tables, a network with delay and losses, and a simulated clock.  */

#include "claim.h"
#include "keys.h"

#include <glib.h>

#define INSTANCES 5
#define RETENTION_MS 600000
#define SLICE 3 /* of all keys */
#define QUEUED_MAX 1024
#define MSG_TYPES (DECIDE_MSG_KEY_COLLECT_REPLY + 1)

typedef struct packet
{
  clock_ms_t due; /* time of delivery */
  uint32_t from;  /* index of the sender */
  uint32_t to;
  decide_msg_t msg;
} packet_t;

typedef struct instance
{
  uint32_t index;
  bool up;
  uint64_t incarnation;
  keys_t *keys;
  claims_t *claims;
} instance_t;

typedef struct client_request
{
  uint64_t id; /* its number: index in cluster.requests + 1 */
  uint32_t key;
  uint32_t instance; /* that received it */
  bool ran;
  bool ended;
  bool replayed;
  bool refused;
  decide_refusal_t refusal;
  /* 0: no other request with the key may run; negative: another may.  */
  clock_ms_t run_validity;
} client_request_t;

typedef struct cluster
{
  clock_ms_t now;
  instance_t instances[INSTANCES];
  uint32_t owner;
  uint64_t version; /* of the ownership record */
  GArray *packets;  /* packet_t */
  GArray *requests; /* client_request_t */
  /* Receivers whose messages are dropped, a bit for each, by sender.  */
  uint64_t blocked[INSTANCES];
  decide_rng_t rng;
  uint32_t delay_ms;
  uint32_t jitter_ms; /* random delay below this is added */
  uint32_t loss_percent;
  uint64_t incarnations; /* the last one given to an instance */
  uint32_t queued[INSTANCES][INSTANCES]; /* messages, by sender and receiver */
  uint32_t leaving;                      /* bit for each instance */
  bool lease_expired;                    /* the owner's lease */
  uint32_t sent[MSG_TYPES]; /* messages between instances, by type */
} cluster_t;

extern cluster_t cluster;
extern uint64_t key_bytes_max; /* limit for instances started later */

void start_cluster (uint64_t seed);
void stop_cluster (void);
void start_instance (uint32_t index);
void stop_instance (uint32_t index);
/* Advances the clock in steps of 1 ms; each step delivers messages and runs
   the ticks.  */
void advance (clock_ms_t ms);
/* Creates a key of SLICE.  */
decide_key_t make_key (uint32_t number);
client_request_t *find_request (uint64_t request);
/* Starts a client's request with a key at an instance.  Returns the number of
   the request.  */
uint64_t send_request (uint32_t instance, uint32_t number);
/* Ends a request that was let run, with the outcome @state.  */
void end_request (uint64_t request, decide_key_state_t state);
/* Makes an instance the owner of SLICE, at the next record version.  */
void change_owner (uint32_t to, keys_origin_t origin);

#endif
