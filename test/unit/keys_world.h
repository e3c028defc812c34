#ifndef PERIDOT_KEYS_WORLD_H
#define PERIDOT_KEYS_WORLD_H

/* Instances with their key tables over a model network.  */

#include "claim.h"
#include "keys.h"

#include <glib.h>

#define NODES 5
#define RETENTION_MS 600000
#define SLICE 3
#define WAITING_MAX 1024
#define TYPES (DECIDE_MSG_KEY_COLLECT_REPLY + 1)

typedef struct packet
{
  clock_ms_t due;
  uint32_t from;
  uint32_t to;
  decide_msg_t msg;
} packet_t;

typedef struct node
{
  uint32_t index;
  bool up;
  uint64_t incarnation;
  keys_t *keys;
  claims_t *claims;
} node_t;

typedef struct caller
{
  uint64_t request;
  uint32_t key;
  uint32_t node;
  bool ran;
  bool ended;
  bool replayed;
  bool refused;
  decide_refusal_t refusal;
  clock_ms_t run_ends; /* 0: the test ends the run */
} caller_t;

typedef struct world
{
  clock_ms_t now;
  node_t nodes[NODES];
  uint32_t owner;
  uint64_t version;
  GArray *packets; /* packet_t */
  GArray *callers; /* caller_t */
  uint64_t cut[NODES];
  decide_rng_t rng;
  uint32_t delay_ms;
  uint32_t jitter_ms;
  uint32_t loss_percent;
  uint64_t incarnations;
  uint32_t waiting[NODES][NODES]; /* messages, by sender and receiver */
  uint32_t leaving;               /* bit for each node */
  bool lapsed;                    /* the owner's lease */
  uint32_t sent[TYPES];           /* to other nodes */
} world_t;

extern world_t world;
extern uint64_t key_bytes; /* limit of nodes that are started */

void start_world (uint64_t seed);
void end_world (void);
void start_node (uint32_t index);
void stop_node (uint32_t index);
void advance (clock_ms_t ms);
decide_key_t make_key (uint32_t number);
caller_t *find_caller (uint64_t request);
uint64_t call (uint32_t node, uint32_t number);
void finish (uint64_t request, decide_key_state_t state);
void change_owner (uint32_t to, keys_origin_t origin);

#endif
