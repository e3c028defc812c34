/* Counts over all instances (see counts.h), which the reader collects, and
   what the reader decides on rollouts by them.  */

#include "relay_private.h"

#include "rollout_counts.h"

/* Time between messages with counts.  */
#define COUNTS_INTERVAL_MS 200
/* Counts are repeated for this time after a change, because datagrams may be
   lost.  */
#define COUNTS_REPEAT_MS 1000

_Static_assert(FLEET_COUNT_VALUES == COUNTS_VALUES,
               "messages must hold the values of a key");

/* Message that is being filled.  */
typedef struct outgoing
{
  relay_t *relay;
  uint32_t ip; /* of the reader; network byte order */
  fleet_wire_counts wire;
  fleet_wire_count counts[FLEET_COUNTS_MAX];
  fleet_wire_progress progress[FLEET_ROLLOUTS_MAX];
} outgoing_t;

static void send_message (outgoing_t *outgoing);
static void add_count (void *context, counts_key_t key,
                       const counts_values_t *values);
static const member_t *find_reader (const relay_t *relay);

u_int
relay_add_rollouts (const relay_t *relay,
                    fleet_wire_rollout rollouts[FLEET_ROLLOUTS_MAX],
                    clock_ms_t now)
{
  rollouts_t *table = relay->view->rollouts;
  int count = rollouts_count (table);
  int n = MIN (count, FLEET_ROLLOUTS_MAX);

  for (int i = 0; i < n; i++)
    wire_from_rollout (
        &rollouts[i],
        rollouts_get (table, (int)((relay->sequence_number * FLEET_ROLLOUTS_MAX
                                    + (unsigned int)i)
                                   % (unsigned int)count)),
        now);
  return (u_int)n;
}

static void
send_message (outgoing_t *outgoing)
{
  fleet_wire_message message = { .body.type = FLEET_COUNTS };
  char data[RELAY_DATAGRAM_MAX_BYTES];
  size_t length;

  message.body.fleet_wire_body_u.counts = outgoing->wire;
  length = relay_encode_message (outgoing->relay, &message, data, sizeof data);
  if (length > 0)
    relay_send_to (outgoing->relay, outgoing->ip, data, length);
  outgoing->wire.counts.counts_len = 0;
}

static void
add_count (void *context, counts_key_t key, const counts_values_t *values)
{
  outgoing_t *outgoing = context;
  u_int position = outgoing->wire.counts.counts_len++;

  outgoing->counts[position]
      = (fleet_wire_count){ .subject = key.subject, .item = key.item };
  for (int i = 0; i < COUNTS_VALUES; i++)
    outgoing->counts[position].values[i] = values->value[i];
  if (outgoing->wire.counts.counts_len == FLEET_COUNTS_MAX)
    send_message (outgoing);
}

static const member_t *
find_reader (const relay_t *relay)
{
  return !relay->reader->is_reader && relay->reader->has_heard_reader
             ? members_find (relay->members, relay->reader->last_reader)
             : NULL;
}

void
relay_counts_tick (relay_t *relay, clock_ms_t now)
{
  const member_t *reader;
  outgoing_t outgoing = { .relay = relay };
  rollouts_t *rollouts = relay->view->rollouts;
  /* A new reader knows no counts of before.  */
  clock_ms_t since;

  if (rollouts_count (rollouts) == 0
      || now - relay->counts_sent_at < COUNTS_INTERVAL_MS
      || (reader = find_reader (relay)) == NULL)
    return;
  since = reader->ip == relay->counts_sent_to ? now - COUNTS_REPEAT_MS : 0;
  relay->counts_sent_at = now;
  relay->counts_sent_to = reader->ip;
  outgoing.ip = reader->ip;
  outgoing.wire.start = relay->started_at;
  outgoing.wire.counts.counts_val = outgoing.counts;
  outgoing.wire.progress.progress_val = outgoing.progress;
  for (int i = 0; i < rollouts_count (rollouts)
                  && outgoing.wire.progress.progress_len < FLEET_ROLLOUTS_MAX;
       i++)
    {
      const rollout_t *rollout = rollouts_get (rollouts, i);

      if (!rollout_is_running (rollout))
        continue;
      outgoing.progress[outgoing.wire.progress.progress_len++]
          = (fleet_wire_progress){
              .id = rollout->id,
              .phase = (u_int)rollout->step.phase,
              .old_in_flight
              = rollout_count_old_in_flight (rollout, relay->view->backends),
            };
    }
  if (outgoing.wire.progress.progress_len == 0)
    return;
  counts_visit_own (relay->view->counts, since, add_count, &outgoing);
  send_message (&outgoing);
}

void
relay_handle_counts (relay_t *relay, const char *sender,
                     const fleet_wire_counts *wire, clock_ms_t now)
{
  (void)now;
  for (u_int i = 0; i < wire->counts.counts_len; i++)
    {
      const fleet_wire_count *from = &wire->counts.counts_val[i];
      counts_key_t key = { .subject = from->subject, .item = from->item };
      counts_values_t values;

      for (int j = 0; j < COUNTS_VALUES; j++)
        values.value[j] = from->values[j];
      counts_learn (relay->view->counts, sender, wire->start, key, &values);
    }
  for (u_int i = 0; i < wire->progress.progress_len; i++)
    {
      const fleet_wire_progress *from = &wire->progress.progress_val[i];
      rollout_progress_t progress
          = { .id = from->id,
              .phase = (rollout_phase_t)MIN (from->phase, ROLLOUT_PHASE_COUNT),
              .old_in_flight = from->old_in_flight };

      relay->hooks.rollout_progress (relay->hooks.context, sender, &progress);
    }
}
