#include "keys_world.h"

#include <string.h>

cluster_t cluster;
uint64_t key_bytes_max;

static decide_id_t
instance_id (uint32_t index)
{
  return index + 1;
}

static void
send_packet (void *context, decide_id_t to, const decide_msg_t *msg)
{
  instance_t *instance = context;
  packet_t packet = { .due = cluster.now + cluster.delay_ms,
                      .from = instance->index,
                      .to = (uint32_t)to - 1,
                      .msg = *msg };

  if (packet.to == instance->index)
    packet.due = cluster.now;
  else
    cluster.sent[msg->type]++;
  if (packet.to != instance->index && cluster.jitter_ms > 0)
    packet.due += decide_rng_below (&cluster.rng, cluster.jitter_ms);
  if (packet.to != instance->index
      && decide_rng_below (&cluster.rng, 100) < cluster.loss_percent)
    return;
  if (packet.to != instance->index)
    {
      uint32_t *queued = &cluster.queued[packet.from][packet.to];

      /* The queue to one receiver in lib/peer has the same limit.  */
      if (*queued == QUEUED_MAX)
        return;
      ++*queued;
    }
  g_array_append_val (cluster.packets, packet);
}

static bool
has_valid_lease (void *context, uint32_t slice)
{
  const instance_t *instance = context;

  (void)slice;
  return cluster.owner == instance->index && !cluster.lease_expired;
}

static uint32_t
list_copy_holders (void *context, keys_member_t *members, uint32_t max)
{
  const instance_t *instance = context;
  uint32_t count = 0;

  for (uint32_t i = 1; i < INSTANCES && count < max; i++)
    {
      uint32_t other = (instance->index + i) % INSTANCES;

      if (!cluster.instances[other].up || (cluster.leaving & (1U << other)))
        continue;
      members[count].id = instance_id (other);
      members[count++].incarnation = cluster.instances[other].incarnation;
    }
  return count;
}

static bool
choose_copy_holder (void *context, uint32_t slice, keys_member_t *member)
{
  (void)slice;
  return list_copy_holders (context, member, 1) > 0;
}

static uint32_t
list_other_members (void *context, keys_member_t *members, uint32_t max)
{
  const instance_t *instance = context;
  uint32_t count = 0;

  for (uint32_t i = 0; i < INSTANCES && count < max; i++)
    if (i != instance->index)
      {
        members[count].id = instance_id (i);
        members[count++].incarnation = cluster.instances[i].incarnation;
      }
  return count;
}

static uint64_t
get_version (void *context)
{
  (void)context;
  return cluster.version;
}

static decide_id_t
find_serving_instance (void *context, uint32_t slice)
{
  (void)context;
  (void)slice;
  return instance_id (cluster.owner);
}

client_request_t *
find_request (uint64_t request)
{
  return &g_array_index (cluster.requests, client_request_t, request - 1);
}

/* Fails the test when a second request with the same key runs, unless
   @other_run_allowed is -1 in the first one.  */
static void
on_run (void *context, uint64_t request)
{
  client_request_t *client_request = find_request (request);
  uint32_t runs = 0;

  (void)context;
  g_assert_false (client_request->ran);
  client_request->ran = true;
  for (uint32_t i = 0; i < cluster.requests->len; i++)
    runs += find_request (i + 1)->ran
            && find_request (i + 1)->key == client_request->key
            && find_request (i + 1)->other_run_allowed >= 0;
  g_assert_cmpuint (runs, ==, 1);
}

/* Creates the response to every request with the key number @key.  The length
   of its body depends on the key; with an even key it has the maximum
   length.  */
static decide_response_t
make_response (uint64_t key)
{
  decide_response_t response = { .status = 200 + (uint32_t)key };

  response.length = key % 2 == 0 ? DECIDE_RESPONSE_MAX_BYTES : (uint32_t)key;
  memset (response.body, (int)key, response.length);
  return response;
}

static void
on_replay (void *context, uint64_t request, const decide_response_t *response)
{
  client_request_t *client_request = find_request (request);
  decide_response_t recorded = make_response (client_request->key);

  (void)context;
  g_assert_cmpuint (response->status, ==, 200 + client_request->key);
  g_assert_cmpmem (response->body, response->length, recorded.body,
                   recorded.length);
  client_request->replayed = true;
  client_request->ended = true;
}

static decide_key_status_t
on_store_copy (void *context, decide_id_t from, const decide_msg_t *reply)
{
  const instance_t *instance = context;

  return keys_store_claim_copy (instance->keys, cluster.now, from,
                                reply->incarnation, &reply->u.key);
}

static void
on_record_outcome (void *context, const decide_msg_key_t *outcome)
{
  const instance_t *instance = context;

  keys_record_outcome (instance->keys, outcome);
}

static void
on_refuse (void *context, const decide_refusal_t *refusal)
{
  client_request_t *client_request = find_request (refusal->request);

  (void)context;
  client_request->refused = true;
  client_request->refusal = *refusal;
  client_request->ended = true;
}

void
start_instance (uint32_t index)
{
  instance_t *instance = &cluster.instances[index];
  keys_callbacks_t keys = { .context = instance,
                            .self = instance_id (index),
                            .send = send_packet,
                            .has_valid_lease = has_valid_lease,
                            .choose_copy_holder = choose_copy_holder,
                            .list_copy_holders = list_copy_holders,
                            .list_other_members = list_other_members,
                            .record_version = get_version };
  claims_callbacks_t claims = { .context = instance,
                                .find_serving_instance = find_serving_instance,
                                .send = send_packet,
                                .store_copy = on_store_copy,
                                .record_outcome = on_record_outcome,
                                .run = on_run,
                                .replay = on_replay,
                                .refuse = on_refuse };

  instance->index = index;
  instance->up = true;
  instance->incarnation = ++cluster.last_incarnation;
  instance->keys
      = keys_new (&keys, instance->incarnation, key_bytes_max, cluster.now);
  instance->claims = claims_new (&claims, instance->incarnation);
}

void
stop_instance (uint32_t index)
{
  instance_t *instance = &cluster.instances[index];

  instance->up = false;
  keys_free (instance->keys);
  claims_free (instance->claims);
  instance->keys = NULL;
  instance->claims = NULL;
}

void
start_cluster (uint64_t seed)
{
  memset (&cluster, 0, sizeof cluster);
  cluster.now = 10 * RETENTION_MS;
  cluster.delay_ms = 1;
  cluster.version = 1;
  cluster.packets = g_array_new (FALSE, FALSE, sizeof (packet_t));
  cluster.requests = g_array_new (FALSE, TRUE, sizeof (client_request_t));
  decide_rng_seed (&cluster.rng, seed);
  /* The instances start two retention times before the test, so that a missing
     key can't be an entry that they lost by a restart.  */
  cluster.now -= 2 * RETENTION_MS;
  for (uint32_t i = 0; i < INSTANCES; i++)
    start_instance (i);
  cluster.now += 2 * RETENTION_MS;
  keys_start_serving (cluster.instances[0].keys, cluster.now, SLICE,
                      KEYS_FIRST_OWNER, 0);
}

void
stop_cluster (void)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (cluster.instances[i].up)
      stop_instance (i);
  g_array_free (cluster.packets, TRUE);
  g_array_free (cluster.requests, TRUE);
}

static void
deliver (const packet_t *packet)
{
  instance_t *instance = &cluster.instances[packet->to];
  const decide_msg_t *msg = &packet->msg;

  if (!instance->up || (cluster.blocked[packet->from] & (1U << packet->to)))
    return;
  if (msg->type == DECIDE_MSG_KEY_CLAIM_REPLY
      || msg->type == DECIDE_MSG_KEY_COPY_ACK)
    claims_handle_message (instance->claims, cluster.now,
                           instance_id (packet->from), msg);
  if (msg->type != DECIDE_MSG_KEY_CLAIM_REPLY)
    keys_handle_message (instance->keys, cluster.now,
                         instance_id (packet->from), msg);
}

static void
deliver_due (void)
{
  for (uint32_t i = 0; i < cluster.packets->len;)
    {
      packet_t packet = g_array_index (cluster.packets, packet_t, i);

      if (packet.due > cluster.now)
        {
          i++;
          continue;
        }
      g_array_remove_index (cluster.packets, i);
      if (packet.from != packet.to)
        cluster.queued[packet.from][packet.to]--;
      deliver (&packet);
    }
}

/* Passes the copy report of each instance to all others, as heartbeats do.
   Reports are lost like other messages.  */
static void
exchange_copy_reports (void)
{
  for (uint32_t from = 0; from < INSTANCES; from++)
    for (uint32_t to = 0; to < INSTANCES; to++)
      {
        uint64_t copies;
        uint32_t slices;

        if (from == to || !cluster.instances[from].up
            || !cluster.instances[to].up
            || (cluster.blocked[from] & (1U << to))
            || decide_rng_below (&cluster.rng, 100) < cluster.loss_percent)
          continue;
        copies = keys_get_copy_report (cluster.instances[from].keys, &slices);
        keys_store_copy_report (cluster.instances[to].keys, instance_id (from),
                                copies, slices);
      }
}

void
advance (clock_ms_t ms)
{
  for (clock_ms_t end = cluster.now + ms; cluster.now < end; cluster.now++)
    {
      if (cluster.now % DECIDE_HEARTBEAT_INTERVAL_MS == 0)
        exchange_copy_reports ();
      deliver_due ();
      for (uint32_t i = 0; i < INSTANCES; i++)
        if (cluster.instances[i].up)
          {
            keys_tick (cluster.instances[i].keys, cluster.now);
            claims_tick (cluster.instances[i].claims, cluster.now);
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
send_request (uint32_t instance, uint32_t key_number)
{
  client_request_t client_request = { .id = cluster.requests->len + 1,
                                      .key = key_number,
                                      .instance = instance };
  decide_key_t key = make_key (key_number);

  g_array_append_val (cluster.requests, client_request);
  claims_start (cluster.instances[instance].claims, cluster.now,
                client_request.id, &key, cluster.now + 1000, RETENTION_MS);
  return client_request.id;
}

void
end_request (uint64_t request, decide_key_state_t state)
{
  client_request_t *client_request = find_request (request);
  decide_response_t response = make_response (client_request->key);

  g_assert_true (client_request->ran);
  client_request->ended = true;
  if (state == DECIDE_KEY_STATE_NOT_RUN)
    client_request->other_run_allowed = -1;
  claims_finish (cluster.instances[client_request->instance].claims,
                 cluster.now, request, state,
                 state == DECIDE_KEY_STATE_DONE ? &response : NULL);
}

void
change_owner (uint32_t to, keys_origin_t origin)
{
  uint32_t from = cluster.owner;

  cluster.version++;
  cluster.owner = to;
  if (cluster.instances[from].up)
    keys_stop_serving (cluster.instances[from].keys, cluster.now, SLICE);
  keys_start_serving (cluster.instances[to].keys, cluster.now, SLICE, origin,
                      instance_id (from));
}
