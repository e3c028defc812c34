#include "keys_world.h"

#include <string.h>

world_t world;
uint64_t key_bytes;

static decide_id_t
node_id (uint32_t index)
{
  return index + 1;
}

static void
send_packet (void *context, decide_id_t to, const decide_msg_t *msg)
{
  node_t *node = context;
  packet_t packet = { .due = world.now + world.delay_ms,
                      .from = node->index,
                      .to = (uint32_t)to - 1,
                      .msg = *msg };

  if (packet.to == node->index)
    packet.due = world.now;
  else
    world.sent[msg->type]++;
  if (packet.to != node->index && world.jitter_ms > 0)
    packet.due += decide_rng_below (&world.rng, world.jitter_ms);
  if (packet.to != node->index
      && decide_rng_below (&world.rng, 100) < world.loss_percent)
    return;
  if (packet.to != node->index)
    {
      uint32_t *waiting = &world.waiting[packet.from][packet.to];

      /* As many messages as a sender of lib/peer keeps.  */
      if (*waiting == WAITING_MAX)
        return;
      ++*waiting;
    }
  g_array_append_val (world.packets, packet);
}

static bool
has_valid_lease (void *context, uint32_t slice)
{
  const node_t *node = context;

  (void)slice;
  return world.owner == node->index && !world.lapsed;
}

static uint32_t
list_holders (void *context, keys_member_t *members, uint32_t max)
{
  const node_t *node = context;
  uint32_t count = 0;

  for (uint32_t i = 1; i < NODES && count < max; i++)
    {
      uint32_t other = (node->index + i) % NODES;

      if (!world.nodes[other].up || (world.leaving & (1U << other)))
        continue;
      members[count].id = node_id (other);
      members[count++].incarnation = world.nodes[other].incarnation;
    }
  return count;
}

static bool
find_second (void *context, uint32_t slice, keys_member_t *member)
{
  (void)slice;
  return list_holders (context, member, 1) > 0;
}

static uint32_t
list_others (void *context, keys_member_t *members, uint32_t max)
{
  const node_t *node = context;
  uint32_t count = 0;

  for (uint32_t i = 0; i < NODES && count < max; i++)
    if (i != node->index)
      {
        members[count].id = node_id (i);
        members[count++].incarnation = world.nodes[i].incarnation;
      }
  return count;
}

static uint64_t
get_version (void *context)
{
  (void)context;
  return world.version;
}

static decide_id_t
get_target (void *context, uint32_t slice)
{
  (void)context;
  (void)slice;
  return node_id (world.owner);
}

caller_t *
find_caller (uint64_t request)
{
  return &g_array_index (world.callers, caller_t, request - 1);
}

static void
on_run (void *context, uint64_t request)
{
  caller_t *caller = find_caller (request);
  uint32_t runs = 0;

  (void)context;
  g_assert_false (caller->ran);
  caller->ran = true;
  for (uint32_t i = 0; i < world.callers->len; i++)
    runs += find_caller (i + 1)->ran && find_caller (i + 1)->key == caller->key
            && find_caller (i + 1)->run_ends >= 0;
  g_assert_cmpuint (runs, ==, 1);
}

/* The body's length differs from key to key, up to the longest.  */
static decide_response_t
recorded_answer (uint64_t key)
{
  decide_response_t answer = { .status = 200 + (uint32_t)key };

  answer.length = key % 2 == 0 ? DECIDE_RESPONSE_MAX_BYTES : (uint32_t)key;
  memset (answer.body, (int)key, answer.length);
  return answer;
}

static void
on_replay (void *context, uint64_t request, const decide_response_t *answer)
{
  caller_t *caller = find_caller (request);
  decide_response_t recorded = recorded_answer (caller->key);

  (void)context;
  g_assert_cmpuint (answer->status, ==, 200 + caller->key);
  g_assert_cmpmem (answer->body, answer->length, recorded.body,
                   recorded.length);
  caller->replayed = true;
  caller->ended = true;
}

static decide_key_status_t
on_hold (void *context, decide_id_t from, const decide_msg_t *reply)
{
  const node_t *node = context;

  return keys_store_claim_copy (node->keys, world.now, from,
                                reply->incarnation, &reply->u.key);
}

static void
on_ended (void *context, const decide_msg_key_t *outcome)
{
  const node_t *node = context;

  keys_record_outcome (node->keys, outcome);
}

static void
on_refuse (void *context, const decide_refusal_t *refusal)
{
  caller_t *caller = find_caller (refusal->request);

  (void)context;
  caller->refused = true;
  caller->refusal = *refusal;
  caller->ended = true;
}

void
start_node (uint32_t index)
{
  node_t *node = &world.nodes[index];
  keys_callbacks_t keys = { .context = node,
                            .self = node_id (index),
                            .send = send_packet,
                            .has_valid_lease = has_valid_lease,
                            .second = find_second,
                            .holders = list_holders,
                            .others = list_others,
                            .record_version = get_version };
  claims_callbacks_t claims = { .context = node,
                                .target = get_target,
                                .send = send_packet,
                                .hold = on_hold,
                                .ended = on_ended,
                                .run = on_run,
                                .replay = on_replay,
                                .refuse = on_refuse };

  node->index = index;
  node->up = true;
  node->incarnation = ++world.incarnations;
  node->keys = keys_new (&keys, node->incarnation, key_bytes, world.now);
  node->claims = claims_new (&claims, node->incarnation);
}

void
stop_node (uint32_t index)
{
  node_t *node = &world.nodes[index];

  node->up = false;
  keys_free (node->keys);
  claims_free (node->claims);
  node->keys = NULL;
  node->claims = NULL;
}

void
start_world (uint64_t seed)
{
  memset (&world, 0, sizeof world);
  world.now = 10 * RETENTION_MS;
  world.delay_ms = 1;
  world.version = 1;
  world.packets = g_array_new (FALSE, FALSE, sizeof (packet_t));
  world.callers = g_array_new (FALSE, TRUE, sizeof (caller_t));
  decide_rng_seed (&world.rng, seed);
  world.now -= 2 * RETENTION_MS;
  for (uint32_t i = 0; i < NODES; i++)
    start_node (i);
  world.now += 2 * RETENTION_MS;
  keys_start_serving (world.nodes[0].keys, world.now, SLICE, KEYS_FIRST_OWNER,
                      0);
}

void
end_world (void)
{
  for (uint32_t i = 0; i < NODES; i++)
    if (world.nodes[i].up)
      stop_node (i);
  g_array_free (world.packets, TRUE);
  g_array_free (world.callers, TRUE);
}

static void
deliver (const packet_t *packet)
{
  node_t *node = &world.nodes[packet->to];
  const decide_msg_t *msg = &packet->msg;

  if (!node->up || (world.cut[packet->from] & (1U << packet->to)))
    return;
  if (msg->type == DECIDE_MSG_KEY_CLAIM_REPLY
      || msg->type == DECIDE_MSG_KEY_COPY_ACK)
    claims_handle_message (node->claims, world.now, node_id (packet->from),
                           msg);
  if (msg->type != DECIDE_MSG_KEY_CLAIM_REPLY)
    keys_handle_message (node->keys, world.now, node_id (packet->from), msg);
}

static void
deliver_due (void)
{
  for (uint32_t i = 0; i < world.packets->len;)
    {
      packet_t packet = g_array_index (world.packets, packet_t, i);

      if (packet.due > world.now)
        {
          i++;
          continue;
        }
      g_array_remove_index (world.packets, i);
      if (packet.from != packet.to)
        world.waiting[packet.from][packet.to]--;
      deliver (&packet);
    }
}

/* Heartbeats state the copies of keys; some are lost.  */
static void
state_copies (void)
{
  for (uint32_t from = 0; from < NODES; from++)
    for (uint32_t to = 0; to < NODES; to++)
      {
        uint64_t copies;
        uint32_t slices;

        if (from == to || !world.nodes[from].up || !world.nodes[to].up
            || (world.cut[from] & (1U << to))
            || decide_rng_below (&world.rng, 100) < world.loss_percent)
          continue;
        copies = keys_get_copy_report (world.nodes[from].keys, &slices);
        keys_store_copy_report (world.nodes[to].keys, node_id (from), copies,
                                slices);
      }
}

void
advance (clock_ms_t ms)
{
  for (clock_ms_t end = world.now + ms; world.now < end; world.now++)
    {
      if (world.now % DECIDE_HEARTBEAT_INTERVAL_MS == 0)
        state_copies ();
      deliver_due ();
      for (uint32_t i = 0; i < NODES; i++)
        if (world.nodes[i].up)
          {
            keys_tick (world.nodes[i].keys, world.now);
            claims_tick (world.nodes[i].claims, world.now);
          }
      deliver_due ();
    }
}

decide_key_t
make_key (uint32_t number)
{
  decide_key_t key
      = { .hash = { SLICE + DECIDE_SLICES * (uint64_t)number, number },
          .body = number };

  return key;
}

uint64_t
call (uint32_t node, uint32_t number)
{
  caller_t caller
      = { .request = world.callers->len + 1, .key = number, .node = node };
  decide_key_t key = make_key (number);

  g_array_append_val (world.callers, caller);
  claims_start (world.nodes[node].claims, world.now, caller.request, &key,
                world.now + 1000, RETENTION_MS);
  return caller.request;
}

void
finish (uint64_t request, decide_key_state_t state)
{
  caller_t *caller = find_caller (request);
  decide_response_t answer = recorded_answer (caller->key);

  g_assert_true (caller->ran);
  caller->ended = true;
  if (state == DECIDE_KEY_STATE_NOT_RUN)
    caller->run_ends = -1;
  claims_finish (world.nodes[caller->node].claims, world.now, request, state,
                 state == DECIDE_KEY_STATE_DONE ? &answer : NULL);
}

/* The slice goes to another owner, as after a lost lease.  */
void
change_owner (uint32_t to, keys_origin_t origin)
{
  uint32_t from = world.owner;

  world.version++;
  world.owner = to;
  if (world.nodes[from].up)
    keys_stop_serving (world.nodes[from].keys, world.now, SLICE);
  keys_start_serving (world.nodes[to].keys, world.now, SLICE, origin,
                      node_id (from));
}
