/* Tests of the table of rollouts, and a model of counts over many
   instances.  */

#include <string.h>

#include "rollout_counts.h"

#define MODEL_INSTANCES 300
#define MODEL_ROUNDS 40

typedef struct fixture
{
  rollouts_t *rollouts;
  backends_t *backends;
} fixture_t;

static void
fixture_start (fixture_t *fixture)
{
  fixture->rollouts = rollouts_new ();
  fixture->backends = backends_new ("front-1", "a");
}

static void
fixture_end (fixture_t *fixture)
{
  rollouts_free (fixture->rollouts);
  backends_free (fixture->backends);
}

static rollout_order_t
order_of (const char *version, uint64_t era, uint64_t created)
{
  return (rollout_order_t){ .service = "booking",
                            .version = version,
                            .duration = 10000,
                            .created = { .era = era, .number = created },
                            .revision = { .era = era, .number = created } };
}

static backend_t *
add_endpoint (fixture_t *fixture, const char *id, const char *version,
              clock_ms_t now)
{
  backend_entry_t entry = { .id = (char *)id,
                            .service = (char *)"booking",
                            .data_centre = (char *)"a",
                            .software = (char *)version,
                            .slots = 2 };
  backend_t *backend;

  backends_put (fixture->backends, &entry, now);
  backend = backends_find (fixture->backends, id);
  rollouts_set_track (fixture->rollouts, fixture->backends, backend, now);
  return backend;
}

static void
take (fixture_t *fixture, rollout_t *rollout, rollout_phase_t phase,
      clock_ms_t now)
{
  rollout_step_t step = { .phase = phase, .share = 0.1 };

  (void)rollout_take_step (rollout, &step, "test", now);
  rollouts_set_tracks (fixture->rollouts, fixture->backends, now);
}

/* Guards against a decision that a late message of another instance undoes. */
static void
later_phase_holds (void)
{
  fixture_t fixture;
  rollout_order_t order = order_of ("v2", 1, 10);
  rollout_step_t back = { .phase = ROLLOUT_ROLLED_BACK, .number = 1 };
  rollout_step_t ramp = { .phase = ROLLOUT_RAMP, .number = 9, .share = 0.5 };
  rollout_step_t done = { .phase = ROLLOUT_COMPLETED, .number = 1 };
  rollout_t *rollout;

  fixture_start (&fixture);
  rollout = rollouts_put (fixture.rollouts, &order, 0);
  g_assert_true (
      rollouts_learn (fixture.rollouts, &order, rollout->id, &back, 0, 0));
  g_assert_false (
      rollouts_learn (fixture.rollouts, &order, rollout->id, &ramp, 0, 0));
  g_assert_false (rollout_take_step (rollout, &ramp, "late", 0));
  g_assert_cmpint (rollout->step.phase, ==, ROLLOUT_ROLLED_BACK);
  /* What the store says goes before: the platform has acted on it.  */
  g_assert_true (
      rollouts_learn (fixture.rollouts, &order, rollout->id, &done, 0, 0));
  g_assert_false (rollout_take_step (rollout, &back, "late", 0));
  g_assert_cmpint (rollout->step.phase, ==, ROLLOUT_COMPLETED);
  fixture_end (&fixture);
}

/* A later order replaces the one before; an older one is ignored; after a
   restore of the store the same order has another revision.  */
static void
later_order_holds (void)
{
  fixture_t fixture;
  rollout_order_t first = order_of ("v2", 1, 10);
  rollout_order_t second = order_of ("v3", 1, 20);
  rollout_order_t again = order_of ("v2", 1, 30);
  rollout_order_t restored = order_of ("v2", 2, 5);
  rollout_order_t edited = order_of ("v4", 1, 30);
  rollout_t *rollout;
  uint64_t id;

  fixture_start (&fixture);
  rollout = rollouts_put (fixture.rollouts, &first, 0);
  take (&fixture, rollout, ROLLOUT_ROLLED_BACK, 0);
  rollout = rollouts_put (fixture.rollouts, &second, 0);
  g_assert_cmpstr (rollout->version, ==, "v3");
  g_assert_cmpint (rollout->step.phase, ==, ROLLOUT_CANARY);
  rollout = rollouts_put (fixture.rollouts, &first, 0);
  g_assert_cmpstr (rollout->version, ==, "v3");
  /* The same version, ordered anew, is tried anew.  */
  rollout = rollouts_put (fixture.rollouts, &again, 0);
  g_assert_cmpstr (rollout->version, ==, "v2");
  g_assert_cmpint (rollout->step.phase, ==, ROLLOUT_CANARY);
  id = rollout->id;
  /* The status was written meanwhile.  */
  again.revision.number = 35;
  rollout = rollouts_put (fixture.rollouts, &again, 0);
  g_assert_cmpuint (rollout->id, ==, id);
  take (&fixture, rollout, ROLLOUT_ROLLED_BACK, 0);
  rollout = rollouts_put (fixture.rollouts, &restored, 0);
  g_assert_cmpuint (rollout->id, ==, id);
  g_assert_cmpint (rollout->step.phase, ==, ROLLOUT_ROLLED_BACK);
  /* The object of the order may be changed to name another version.  */
  edited.created.era = 2;
  edited.revision = (store_revision_t){ .era = 2, .number = 40 };
  rollout = rollouts_put (fixture.rollouts, &edited, 0);
  g_assert_cmpstr (rollout->version, ==, "v4");
  g_assert_cmpint (rollout->step.phase, ==, ROLLOUT_CANARY);
  g_assert_cmpint (rollouts_count (fixture.rollouts), ==, 1);
  fixture_end (&fixture);
}

/* Guards against requests to a new version before or after its rollout, and to
   an old one after it.  */
static void
phases_set_tracks (void)
{
  fixture_t fixture;
  rollout_order_t order = order_of ("v2", 1, 10);
  rollout_t *rollout;
  const backend_t *old_one;
  const backend_t *new_one;

  fixture_start (&fixture);
  old_one = add_endpoint (&fixture, "i-1", "v1", 0);
  rollouts_set_established (fixture.rollouts);
  new_one = add_endpoint (&fixture, "i-2", "v2", 0);
  g_assert_cmpint (old_one->track, ==, BACKEND_STABLE);
  /* No order names it yet.  */
  g_assert_cmpint (new_one->track, ==, BACKEND_WITHHELD);
  g_assert_true (rollouts_has_unordered (fixture.rollouts));
  rollout = rollouts_put (fixture.rollouts, &order, 0);
  take (&fixture, rollout, ROLLOUT_CANARY, 0);
  g_assert_cmpint (new_one->track, ==, BACKEND_CANARY);
  g_assert_cmpint (new_one->service, !=, old_one->service);
  g_assert_false (rollouts_has_unordered (fixture.rollouts));
  take (&fixture, rollout, ROLLOUT_PROMOTED, 0);
  g_assert_cmpint (new_one->track, ==, BACKEND_STABLE);
  g_assert_cmpint (new_one->service, ==, old_one->service);
  g_assert_cmpint (old_one->track, ==, BACKEND_WITHHELD);
  take (&fixture, rollout, ROLLOUT_ROLLED_BACK, 0);
  g_assert_cmpint (new_one->track, ==, BACKEND_WITHHELD);
  g_assert_cmpint (old_one->track, ==, BACKEND_STABLE);
  fixture_end (&fixture);
}

/* A version without an order is used after a time, and endpoints that state no
   version always.  */
static void
versions_without_order (void)
{
  fixture_t fixture;
  const backend_t *other;
  const backend_t *silent;

  fixture_start (&fixture);
  (void)add_endpoint (&fixture, "i-1", "v1", 0);
  rollouts_set_established (fixture.rollouts);
  other = add_endpoint (&fixture, "i-2", "v2", 0);
  silent = add_endpoint (&fixture, "i-3", NULL, 0);
  g_assert_cmpint (other->track, ==, BACKEND_WITHHELD);
  g_assert_cmpint (silent->track, ==, BACKEND_STABLE);
  rollouts_set_tracks (fixture.rollouts, fixture.backends,
                       ROLLOUT_UNORDERED_HOLD_MS);
  g_assert_cmpint (other->track, ==, BACKEND_STABLE);
  g_assert_false (rollouts_has_unordered (fixture.rollouts));
  fixture_end (&fixture);
}

/* In the canary phase only the active endpoints get requests, the same at each
   instance.  */
static void
active_endpoints_are_the_same_everywhere (void)
{
  fixture_t fixtures[2];
  rollout_order_t order = order_of ("v2", 1, 10);
  rollout_step_t step
      = { .phase = ROLLOUT_CANARY, .share = 0.05, .active = 3, .first = 18 };
  int n_active = 0;

  for (int i = 0; i < 2; i++)
    {
      rollout_t *rollout;

      fixture_start (&fixtures[i]);
      rollout = rollouts_put (fixtures[i].rollouts, &order, 0);
      (void)rollout_take_step (rollout, &step, "test", 0);
      for (int j = 0; j < 20; j++)
        {
          g_autofree char *id = g_strdup_printf ("i-%d", i == 0 ? j : 19 - j);

          (void)add_endpoint (&fixtures[i], id, "v2", 0);
        }
      rollouts_set_tracks (fixtures[i].rollouts, fixtures[i].backends, 0);
    }
  for (int j = 0; j < 20; j++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", j);
      const backend_t *one = backends_find (fixtures[0].backends, id);
      const backend_t *other = backends_find (fixtures[1].backends, id);

      g_assert_cmpint (one->track, ==, other->track);
      n_active += one->track == BACKEND_CANARY ? 1 : 0;
    }
  g_assert_cmpint (n_active, ==, 3);
  fixture_end (&fixtures[0]);
  fixture_end (&fixtures[1]);
}

/* Load: a route with one request in forty beside a busy one.  Guards against a
   fault on a rarely used route that does not show in time, and against a share
   above that of the step.  */
static void
rare_routes_get_their_part (void)
{
  fixture_t fixture;
  rollout_order_t order = order_of ("v2", 1, 10);
  rollout_step_t step = { .phase = ROLLOUT_CANARY, .share = 0.05 };
  rollout_t *rollout;
  int drawn[2] = { 0, 0 };
  decide_rng_t rng;

  decide_rng_seed (&rng, 1);
  fixture_start (&fixture);
  rollout = rollouts_put (fixture.rollouts, &order, 0);
  (void)rollout_take_step (rollout, &step, "test", 0);
  for (int i = 0; i < 40000; i++)
    {
      int route = i % 40 == 0 ? 1 : 0;

      drawn[route]
          += rollout_draw (rollout, (uint64_t)route + 1, &rng) ? 1 : 0;
    }
  g_assert_cmpint (drawn[0] + drawn[1], <, 40000 * 6 / 100);
  g_assert_cmpint (drawn[1], >, 1000 * 2 / 10);
  fixture_end (&fixture);
}

/* An instance that hears nothing of others gives the new version nothing.  */
static void
suspended_instance_divides_nothing (void)
{
  fixture_t fixture;
  rollout_order_t order = order_of ("v2", 1, 10);
  rollout_t *rollout;

  fixture_start (&fixture);
  rollout = rollouts_put (fixture.rollouts, &order, 0);
  g_assert_null (rollouts_find_dividing (fixture.rollouts, "booking"));
  take (&fixture, rollout, ROLLOUT_RAMP, 0);
  g_assert_nonnull (rollouts_find_dividing (fixture.rollouts, "booking"));
  rollouts_suspend (fixture.rollouts, true);
  g_assert_null (rollouts_find_dividing (fixture.rollouts, "booking"));
  fixture_end (&fixture);
}

static void
add_to_total (void *context, uint64_t item, const counts_values_t *sum)
{
  uint64_t *total = context;

  (void)item;
  *total += sum->value[0];
}

static uint64_t
total_of (const counts_t *counts, uint64_t subject)
{
  uint64_t total = 0;

  counts_sum (counts, subject, add_to_total, &total);
  return total;
}

/* Model: 300 instances count and tell a collector, over messages of which a
   third is lost and some arrive late or twice; instances restart, and another
   collector takes over half-way.  The collector never counts more than there
   was, and all that live instances have counted after one whole round.  */
static void
counts_survive_loss_restarts_and_collectors (void)
{
  counts_t *collectors[2] = { counts_new (), counts_new () };
  uint64_t counted[MODEL_INSTANCES] = { 0 };
  uint64_t told[MODEL_INSTANCES] = { 0 };
  uint64_t starts[MODEL_INSTANCES] = { 0 };
  uint64_t total = 0;
  uint64_t live = 0;
  counts_key_t key = { .subject = 7, .item = 1 };
  decide_rng_t rng;

  decide_rng_seed (&rng, 3);
  for (int round = 0; round < MODEL_ROUNDS; round++)
    for (int i = 0; i < MODEL_INSTANCES; i++)
      {
        g_autofree char *name = g_strdup_printf ("front-%d", i);
        counts_t *collector = collectors[round >= MODEL_ROUNDS / 2 ? 1 : 0];
        uint64_t n = decide_rng_below (&rng, 4);
        uint64_t late = counted[i] > 2 ? counted[i] - 2 : counted[i];
        counts_values_t values;

        if (decide_rng_below (&rng, 100) == 0)
          {
            counted[i] = 0;
            starts[i]++;
          }
        counted[i] += n;
        total += n;
        values = (counts_values_t){ { counted[i] } };
        if (round == MODEL_ROUNDS - 1 || decide_rng_below (&rng, 3) > 0)
          counts_learn (collector, name, starts[i], key, &values);
        if (decide_rng_below (&rng, 10) == 0)
          {
            values.value[0] = MIN (late, counted[i]);
            counts_learn (collector, name, starts[i], key, &values);
          }
        told[i] = counted[i];
        g_assert_cmpuint (total_of (collector, 7), <=, total);
      }
  for (int i = 0; i < MODEL_INSTANCES; i++)
    live += told[i];
  g_assert_cmpuint (total_of (collectors[1], 7), >=, live);
  counts_forget (collectors[1], 7);
  g_assert_cmpuint (total_of (collectors[1], 7), ==, 0);
  counts_free (collectors[0]);
  counts_free (collectors[1]);
}

/* Guards against memory that grows with the keys that others tell.  */
static void
counts_are_bounded (void)
{
  counts_t *counts = counts_new ();
  counts_values_t one = { { 1 } };

  for (uint64_t i = 0; i < 3 * COUNTS_KEYS_MAX; i++)
    counts_learn (counts, "front-1", 1,
                  (counts_key_t){ .subject = 1, .item = i }, &one);
  g_assert_cmpuint (total_of (counts, 1), ==, COUNTS_KEYS_MAX);
  counts_free (counts);
}

/* Attempts are told apart by version, route and endpoint.  */
static void
evidence_is_summed_by_route_and_endpoint (void)
{
  fixture_t fixture;
  rollout_order_t order = order_of ("v2", 1, 10);
  rollout_tally_t good = { .answers = 1, .busy_ms = 100 };
  rollout_tally_t failed = { .answers = 1, .failures = 1, .busy_ms = 50 };
  counts_t *counts = counts_new ();
  rollout_evidence_t evidence;
  rollout_route_tally_t total;
  rollout_room_t room = { 0 };
  rollout_t *rollout;

  fixture_start (&fixture);
  rollout = rollouts_put (fixture.rollouts, &order, 0);
  rollout_count_attempt (
      counts, rollout, add_endpoint (&fixture, "i-1", "v1", 0), 40, &good, 0);
  rollout_count_attempt (counts, rollout,
                         add_endpoint (&fixture, "i-2", "v2", 0), 40, &failed,
                         0);
  rollout_count_attempt (
      counts, rollout, backends_find (fixture.backends, "i-2"), 80, &good, 0);
  rollout_gather_evidence (counts, rollout->id, &evidence);
  total = rollout_evidence_total (&evidence);
  g_assert_cmpint (evidence.n_routes, ==, 2);
  g_assert_cmpint (evidence.n_endpoints, ==, 1);
  g_assert_cmpuint (total.stable.answers, ==, 1);
  g_assert_cmpuint (total.canary.answers, ==, 2);
  g_assert_cmpuint (total.canary.failures, ==, 1);
  g_assert_cmpuint (total.canary.busy_ms, ==, 150);
  rollout_survey_room (rollout, fixture.backends, 0, &room);
  g_assert_cmpint (room.stable_endpoints, ==, 1);
  g_assert_cmpuint (room.canary_slots, ==, 2);
  backends_find (fixture.backends, "i-1")->in_flight = 3;
  g_assert_cmpuint (rollout_count_old_in_flight (rollout, fixture.backends),
                    ==, 3);
  counts_free (counts);
  fixture_end (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rollouts/phase", later_phase_holds);
  g_test_add_func ("/rollouts/order", later_order_holds);
  g_test_add_func ("/rollouts/tracks", phases_set_tracks);
  g_test_add_func ("/rollouts/unordered", versions_without_order);
  g_test_add_func ("/rollouts/active",
                   active_endpoints_are_the_same_everywhere);
  g_test_add_func ("/rollouts/rare_route", rare_routes_get_their_part);
  g_test_add_func ("/rollouts/suspend", suspended_instance_divides_nothing);
  g_test_add_func ("/counts/model",
                   counts_survive_loss_restarts_and_collectors);
  g_test_add_func ("/counts/bounded", counts_are_bounded);
  g_test_add_func ("/counts/evidence",
                   evidence_is_summed_by_route_and_endpoint);
  return g_test_run ();
}
