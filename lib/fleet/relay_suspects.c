/* Requests that may crash endpoints: instances tell each other of endpoints
   that have ended under a request, and of responses to such requests.  The
   instance that learns of a change tells all others at once.  Hellos and
   announcements have a digest of what is refused, so that instances that have
   just started, or were cut off, are told what they lack.  */

#include "relay_private.h"

#include "spread.h"
#include "suspects.h"
#include "telemetry.h"

/* A change is told this many times, because datagrams may be lost, with this
   time between.  */
#define CHANGE_TOLD_COUNT 2
#define CHANGE_REPEAT_MS 100
/* Mean number of instances that tell the reader what it lacks, after each of
   its announcements.  */
#define TELLERS_MEAN 8

static void encode (fleet_wire_suspect *wire, const suspect_t *suspect,
                    fleet_wire_ending *endings, clock_ms_t now);
static size_t encode_message (relay_t *relay, const GArray *positions,
                              guint first, clock_ms_t now, char *data);
static void tell_all (relay_t *relay, const GArray *positions, clock_ms_t now);
static bool apply (relay_t *relay, const fleet_wire_suspect *wire,
                   clock_ms_t now);
static bool is_due (suspect_t *suspect, clock_ms_t now);

static void
encode (fleet_wire_suspect *wire, const suspect_t *suspect,
        fleet_wire_ending *endings, clock_ms_t now)
{
  *wire = (fleet_wire_suspect){
    .digest = suspect->digest,
    .served = suspect->served_at != 0,
    .served_age = (u_int)CLAMP (now - suspect->served_at, 0, INT32_MAX),
    .endings.endings_len = (u_int)suspect->n_endings,
    .endings.endings_val = endings,
  };
  for (int i = 0; i < suspect->n_endings; i++)
    endings[i] = (fleet_wire_ending){
      .endpoint = suspect->endings[i].endpoint,
      .age = (u_int)CLAMP (now - suspect->endings[i].at, 0, INT32_MAX),
    };
}

/* Encodes the entries at positions of the table from the one with index @first
   on, as many as fit into a message.  @data: buffer of RELAY_BUFFER_BYTES
   bytes.  Return: length in bytes, or 0.  */
static size_t
encode_message (relay_t *relay, const GArray *positions, guint first,
                clock_ms_t now, char *data)
{
  fleet_wire_suspect suspects[FLEET_SUSPECTS_MAX];
  fleet_wire_ending endings[FLEET_SUSPECTS_MAX][FLEET_ENDINGS_MAX];
  fleet_wire_message message = { .body.type = FLEET_SUSPECTS };
  fleet_wire_suspects *wire = &message.body.fleet_wire_body_u.suspects;

  wire->suspects.suspects_val = suspects;
  wire->suspects.suspects_len
      = MIN (positions->len - first, FLEET_SUSPECTS_MAX);
  for (u_int i = 0; i < wire->suspects.suspects_len; i++)
    encode (&suspects[i],
            suspects_get (relay->view->suspects,
                          g_array_index (positions, int, first + i)),
            endings[i], now);
  return relay_encode_message (relay, &message, data, RELAY_BUFFER_BYTES);
}

static void
tell_all (relay_t *relay, const GArray *positions, clock_ms_t now)
{
  char data[RELAY_BUFFER_BYTES];
  GArray *groups = spread_plan (relay->members, relay->reader->is_reader,
                                relay->sequence_number, now);

  for (guint i = 0; i < positions->len; i += FLEET_SUSPECTS_MAX)
    {
      size_t length = encode_message (relay, positions, i, now, data);

      if (length > 0)
        relay_send_to_groups (relay, groups, data, length);
    }
  g_array_unref (groups);
}

/* Whether others are to be told of an entry now.  If so, schedules the next
   time.  */
static bool
is_due (suspect_t *suspect, clock_ms_t now)
{
  if (suspect->tell_at == 0 || now < suspect->tell_at)
    return false;
  suspect->told_count++;
  suspect->tell_at
      = suspect->told_count < CHANGE_TOLD_COUNT ? now + CHANGE_REPEAT_MS : 0;
  return true;
}

void
relay_suspects_tick (relay_t *relay, clock_ms_t now)
{
  suspects_t *suspects = relay->view->suspects;
  GArray *due;

  if (suspects_count (suspects) == 0)
    return;
  due = g_array_new (FALSE, FALSE, sizeof (int));
  for (int i = 0; i < suspects_count (suspects); i++)
    if (is_due (suspects_get (suspects, i), now))
      g_array_append_val (due, i);
  if (due->len > 0)
    tell_all (relay, due, now);
  g_array_unref (due);
}

void
relay_tell_missing_refused (relay_t *relay, uint32_t ip, uint64_t digest,
                            guint tellers, clock_ms_t now)
{
  suspects_t *suspects = relay->view->suspects;
  uint64_t own_digest = suspects_refused_digest (suspects);
  char data[RELAY_BUFFER_BYTES];
  GArray *refused;

  if (own_digest == 0 || own_digest == digest
      || decide_rng_below (&relay->rng, MAX (tellers, 1)) >= TELLERS_MEAN)
    return;
  refused = g_array_new (FALSE, FALSE, sizeof (int));
  for (int i = 0; i < suspects_count (suspects); i++)
    if (suspects_get (suspects, i)->n_endings == SUSPECT_ENDINGS_MAX)
      g_array_append_val (refused, i);
  for (guint i = 0; i < refused->len; i += FLEET_SUSPECTS_MAX)
    {
      size_t length = encode_message (relay, refused, i, now, data);

      if (length > 0)
        relay_send_to (relay, ip, data, length);
    }
  g_array_unref (refused);
}

void
relay_tell_suspect (relay_t *relay, suspect_t *suspect)
{
  clock_ms_t now = clock_now ();

  suspect->tell_at = now;
  suspect->told_count = 0;
  relay_suspects_tick (relay, now);
}

/* Applies what another instance has told.  Return: whether it was new.  */
static bool
apply (relay_t *relay, const fleet_wire_suspect *wire, clock_ms_t now)
{
  suspects_t *suspects = relay->view->suspects;
  bool changed = false;

  for (u_int i = 0; i < wire->endings.endings_len; i++)
    {
      const fleet_wire_ending *from = &wire->endings.endings_val[i];
      suspect_ending_t ending
          = { .endpoint = from->endpoint, .at = now - (clock_ms_t)from->age };

      changed |= suspects_add_ending (suspects, wire->digest, &ending, now)
                 != NULL;
    }
  if (wire->served)
    changed |= suspects_set_served (suspects, wire->digest,
                                    now - (clock_ms_t)wire->served_age, now)
               != NULL;
  return changed;
}

void
relay_handle_suspects (relay_t *relay, const fleet_wire_suspects *wire,
                       clock_ms_t now)
{
  for (u_int i = 0; i < wire->suspects.suspects_len; i++)
    if (apply (relay, &wire->suspects.suspects_val[i], now))
      telemetry_counter_increment (TELEMETRY_SUSPECTS, 2);
}
