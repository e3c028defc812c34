#ifndef PERIDOT_KEYS_WORLD_H
#define PERIDOT_KEYS_WORLD_H

/* Simulated cluster for the tests of idempotency keys: instances with their
   key tables, a network with delay and losses, and a simulated clock.  */

#include "claim.h"
#include "keys.h"

#include <glib.h>

#define INSTANCES 5
#define RETENTION_MS 600000
#define SLICE 3 /* slice to which all keys of the tests belong */
/* Maximum number of messages in transit from one instance to another.  */
#define QUEUED_MAX 1024
#define MSG_TYPES (DECIDE_MSG_KEY_COLLECT_REPLY + 1)

typedef struct packet
{
  clock_ms_t due; /* time of delivery */
  uint32_t from;  /* index of the sender */
  uint32_t to;    /* index of the receiver */
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
  uint64_t id;       /* index in cluster.requests + 1 */
  uint32_t key;      /* number of the key, as for make_key() */
  uint32_t instance; /* index of the instance that received it */
  bool ran;
  bool ended;
  bool replayed;
  bool refused;
  decide_refusal_t refusal;
  /* A flag in spite of its type, never a point in time: -1 if another request
     with the key may run although this one has run, else 0.  */
  clock_ms_t other_run_allowed;
} client_request_t;

typedef struct cluster
{
  clock_ms_t now;
  instance_t instances[INSTANCES];
  uint32_t owner;   /* index of the owner of SLICE */
  uint64_t version; /* of the ownership record */
  GArray *packets;  /* packet_t */
  GArray *requests; /* client_request_t */
  /* For each sender, a bit mask of the receivers to which its messages are
     dropped.  */
  uint64_t blocked[INSTANCES];
  decide_rng_t rng;
  uint32_t delay_ms;  /* of each message */
  uint32_t jitter_ms; /* upper limit of the random delay that is added to
                         @delay_ms */
  uint32_t loss_percent;
  uint64_t last_incarnation; /* incarnation of the process started last */
  /* Number of messages in transit, by sender and receiver.  */
  uint32_t queued[INSTANCES][INSTANCES];
  uint32_t leaving;         /* bit mask of the instances that are leaving */
  bool lease_expired;       /* the owner's lease on SLICE has expired */
  uint32_t sent[MSG_TYPES]; /* messages between instances, by type */
} cluster_t;

extern cluster_t cluster;
/* Memory limit in bytes of the key table of each instance that is started
   afterwards; 0: none.  */
extern uint64_t key_bytes_max;

void start_cluster (uint64_t seed);
void stop_cluster (void);
void start_instance (uint32_t index);
void stop_instance (uint32_t index);
/* Advances the clock in steps of 1 ms; each step delivers messages and runs
   the ticks.  */
void advance (clock_ms_t ms);
/* Creates a key of SLICE; equal numbers give equal keys.  */
decide_key_t make_key (uint32_t number);
/* Finds a request by its number, as returned by send_request().  */
client_request_t *find_request (uint64_t request);
/* Sends a client's request with the key make_key (@key_number) to an instance.
   Returns the number of the request.  */
uint64_t send_request (uint32_t instance, uint32_t key_number);
/* Ends a request that runs, with the outcome @state.  */
void end_request (uint64_t request, decide_key_state_t state);
/* Makes an instance the owner of SLICE, at the next record version.  */
void change_owner (uint32_t to, keys_origin_t origin);

#endif
