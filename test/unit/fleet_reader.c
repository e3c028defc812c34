/* Simulation, in virtual time, of how instances agree on the reader, the one
   that reads the store on behalf of all and announces the result, while
   instances, the network or the store fail.  */

#include <glib.h>
#include <stdio.h>

#include "reader.h"

#define INSTANCES_MAX 473
#define STEP_MS 10
#define ANNOUNCE_INTERVAL_MS 250
#define READ_INTERVAL_MS 600
/* Simulated duration of a read of the store.  */
#define STORE_CALL_MS 40
/* Time after which a read of the configuration fails that is never answered.
 */
#define SILENT_READ_MS 1000

typedef struct instance
{
  char name[24];
  reader_t reader;
  bool dead;           /* the process is not running */
  bool refused;        /* the store refuses calls of the instance */
  bool config_refused; /* the store refuses its calls for configurations
                          only */
  clock_ms_t config_refused_at; /* ms; since when */
  bool partitioned;           /* no message to or from the instance arrives */
  clock_ms_t announced_at;    /* ms; when it last sent an announcement */
  clock_ms_t read_at;         /* ms; start of its last read of the store */
  clock_ms_t call_ends_at;    /* ms; end of its pending read; 0: none */
  clock_ms_t known_read_at;   /* ms; start of the newest read of the store, by
                                 any instance, whose result it knows; 0: none */
  bool reads_config;          /* its pending read is one of all objects */
  clock_ms_t known_config_at; /* ms; the same as @known_read_at for the
                                 configuration */
} instance_t;

typedef struct fixture
{
  instance_t instances[INSTANCES_MAX];
  int count;      /* number of @instances in use */
  clock_ms_t now; /* ms; virtual time */
  bool store_unreachable;
  int calls;          /* number of calls of the store by all instances */
  int reader_changes; /* number of times that an instance became the reader */
  /* ms; time until a read of the configuration has failed at an instance whose
     calls for it are refused */
  clock_ms_t config_failure;
} fixture_t;

static void
fixture_start (fixture_t *fixture, int count)
{
  *fixture = (fixture_t){ .count = count, .now = 1000 };
  for (int i = 0; i < count; i++)
    {
      instance_t *instance = &fixture->instances[i];

      (void)snprintf (instance->name, sizeof instance->name, "front-%02d", i);
      reader_init (&instance->reader, false, fixture->now);
    }
}

/* Returns the number of live instances that take over before this one.  */
static int
takeover_rank (const fixture_t *fixture, const instance_t *instance)
{
  int rank = 0;

  /* An instance that has received no announcement does not know which others
     are live, so that its rank is its index.  */
  if (!instance->reader.has_heard_reader)
    return (int)(instance - fixture->instances);
  for (int i = 0; i < fixture->count; i++)
    if (&fixture->instances[i] < instance && !fixture->instances[i].dead)
      rank++;
  return rank;
}

/* Sends an announcement of the reader @from, and the result of its last read,
   to all instances that it can reach.  */
static void
announce (fixture_t *fixture, instance_t *from)
{
  reader_announcement_t announcement
      = { .name = from->name,
          .fresh = reader_is_fresh (&from->reader, fixture->now),
          .partial = from->reader.is_partial,
          .weak = from->reader.weak };

  from->announced_at = fixture->now;
  for (int i = 0; i < fixture->count; i++)
    {
      instance_t *to = &fixture->instances[i];

      if (to == from || to->dead || to->partitioned != from->partitioned
          || (to->partitioned && from->partitioned))
        continue;
      (void)reader_handle_announcement (&to->reader, to->name, &announcement,
                                        fixture->now);
      to->known_read_at = MAX (to->known_read_at, from->known_read_at);
      to->known_config_at = MAX (to->known_config_at, from->known_config_at);
    }
}

/* Ends the pending read of the store of an instance.  An instance that may
   take over only if it can read everything goes on with the other objects.  */
static void
end_read (fixture_t *fixture, instance_t *instance)
{
  reader_t *reader = &instance->reader;
  bool ok = !fixture->store_unreachable && !instance->refused;
  bool was_reader = reader->is_reader;

  instance->call_ends_at = 0;
  if (ok)
    instance->known_read_at = MAX (instance->known_read_at, instance->read_at);
  if (ok && !instance->reads_config
      && reader_must_read_all (reader, fixture->now))
    {
      instance->reads_config = true;
      instance->call_ends_at
          = fixture->now
            + (instance->config_refused ? fixture->config_failure
                                        : STORE_CALL_MS);
      return;
    }
  if (instance->reads_config && instance->config_refused)
    reader_delay_takeover (reader, fixture->count, fixture->now);
  else
    (void)reader_handle_read_result (reader,
                                     !ok ? READER_FAILED
                                     : instance->reads_config
                                         ? READER_READ_ALL
                                         : READER_READ_ENDPOINTS,
                                     fixture->count, fixture->now);
  instance->reads_config = false;
  fixture->reader_changes += !was_reader && reader->is_reader;
}

/* Lets the reader watch the configuration.  */
static void
watch_config (const fixture_t *fixture, instance_t *instance)
{
  reader_t *reader = &instance->reader;
  clock_ms_t since = reader->reader_since;

  if (instance->config_refused)
    reader->is_partial
        = fixture->now - MAX (since, instance->config_refused_at)
          >= fixture->config_failure;
  else if (reader_is_fresh (reader, fixture->now)
           && fixture->now - since >= STORE_CALL_MS)
    {
      reader->is_partial = false;
      instance->known_config_at = fixture->now;
    }
}

/* Lets an instance do all that is due at the current time: end or start a read
   of the store, and announce.  */
static void
step_instance (fixture_t *fixture, instance_t *instance)
{
  reader_t *reader = &instance->reader;
  bool should_read;
  bool was_partial = reader->is_partial;

  if (instance->dead)
    return;
  if (instance->call_ends_at != 0 && fixture->now >= instance->call_ends_at)
    end_read (fixture, instance);
  if (reader->is_reader)
    watch_config (fixture, instance);
  should_read
      = reader->is_reader
            ? fixture->now - instance->read_at >= READ_INTERVAL_MS
            : reader_should_take_over (
                reader, takeover_rank (fixture, instance), fixture->now);
  if (should_read && instance->call_ends_at == 0)
    {
      instance->read_at = fixture->now;
      instance->call_ends_at = fixture->now + STORE_CALL_MS;
      fixture->calls++;
    }
  if (reader->is_reader
      && (fixture->now - instance->announced_at >= ANNOUNCE_INTERVAL_MS
          || reader->is_partial != was_partial))
    announce (fixture, instance);
}

static void
run_for (fixture_t *fixture, clock_ms_t ms)
{
  for (clock_ms_t end = fixture->now + ms; fixture->now < end;
       fixture->now += STEP_MS)
    for (int i = 0; i < fixture->count; i++)
      step_instance (fixture, &fixture->instances[i]);
}

static int
count_readers (const fixture_t *fixture)
{
  int n = 0;

  for (int i = 0; i < fixture->count; i++)
    n += !fixture->instances[i].dead && fixture->instances[i].reader.is_reader;
  return n;
}

/* Returns the time in ms since the start of the newest read of the store that
   an instance knows: the greatest of these times among all live instances.  */
static clock_ms_t
get_greatest_age (const fixture_t *fixture)
{
  clock_ms_t oldest = 0;

  for (int i = 0; i < fixture->count; i++)
    if (!fixture->instances[i].dead)
      oldest
          = MAX (oldest, fixture->now - fixture->instances[i].known_read_at);
  return oldest;
}

/* Guards against a number of store calls that grows with the number of
   instances.  */
static void
one_instance_reads_the_store (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 13);
  run_for (&fixture, 2000);
  g_assert_cmpint (count_readers (&fixture), ==, 1);
  fixture.calls = 0;
  run_for (&fixture, 10000);
  g_assert_cmpint (count_readers (&fixture), ==, 1);
  g_assert_cmpint (fixture.calls, <=, 18);
}

/* Guards against instances that still send requests to an endpoint two seconds
   after the endpoint began to drain, because the reader was killed meanwhile.
   The test kills the reader at each moment between two reads.  */
static void
killed_reader_is_replaced (void)
{
  for (int offset_ms = 0; offset_ms < READ_INTERVAL_MS; offset_ms += STEP_MS)
    {
      fixture_t fixture;

      fixture_start (&fixture, 13);
      run_for (&fixture, 3000 + offset_ms);
      for (int i = 0; i < fixture.count; i++)
        fixture.instances[i].dead = fixture.instances[i].reader.is_reader;
      for (int i = 0; i < 200; i++)
        {
          run_for (&fixture, STEP_MS);
          g_assert_cmpint (get_greatest_age (&fixture), <, 2000);
        }
      g_assert_cmpint (count_readers (&fixture), ==, 1);
    }
}

/* Guards against outdated state in all instances when the store refuses the
   calls of a third of them, including the reader.  */
static void
refused_reader_is_replaced (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 13);
  run_for (&fixture, 3000);
  for (int i = 0; i < fixture.count; i++)
    fixture.instances[i].refused
        = i < 4 || fixture.instances[i].reader.is_reader;
  run_for (&fixture, 2500);
  for (int i = 0; i < 300; i++)
    {
      run_for (&fixture, STEP_MS);
      g_assert_cmpint (get_greatest_age (&fixture), <, 2000);
    }
}

/* Guards against a new configuration that is in force too late because the
   reader, which the store turns away, is taken for a fresh one for long: the
   store refuses the calls of the reader and of those that would take over
   first, at each moment between two reads.  Of the 2.5 s in which a
   configuration must be in force, a second is left for the others.  */
static void
reader_that_cannot_read_says_so (void)
{
  for (int offset_ms = 0; offset_ms < READ_INTERVAL_MS; offset_ms += STEP_MS)
    {
      fixture_t fixture;

      fixture_start (&fixture, 24);
      run_for (&fixture, 3000 + offset_ms);
      for (int i = 0; i < fixture.count; i++)
        fixture.instances[i].refused
            = i < 4 || fixture.instances[i].reader.is_reader;
      for (int i = 0; i < 300; i++)
        {
          run_for (&fixture, STEP_MS);
          g_assert_cmpint (get_greatest_age (&fixture), <, 1500);
        }
      g_assert_cmpint (count_readers (&fixture), ==, 1);
    }
}

/* Cuts an instance off from the store but for the endpoints.  */
static void
refuse_config (const fixture_t *fixture, instance_t *instance)
{
  instance->config_refused = true;
  instance->config_refused_at = fixture->now;
}

/* Refuses the calls for configurations of the reader and of the @others that
   would take over first.  Return: the greatest age in ms, in the next three
   seconds, of the configuration that an instance knows.  */
static clock_ms_t
measure_config_age (fixture_t *fixture, int others)
{
  clock_ms_t greatest = 0;

  for (int i = 0; i < fixture->count; i++)
    {
      instance_t *instance = &fixture->instances[i];

      if (instance->reader.is_reader)
        refuse_config (fixture, instance);
      else if (others-- > 0)
        refuse_config (fixture, instance);
    }
  for (int i = 0; i < 300; i++)
    {
      run_for (fixture, STEP_MS);
      for (int j = 0; j < fixture->count; j++)
        greatest = MAX (greatest,
                        fixture->now - fixture->instances[j].known_config_at);
    }
  return greatest;
}

/* Guards against a configuration that is in force nowhere because the reader
   cannot read it, although its lists of the endpoints succeed: the store
   refuses its calls or never answers them, and those of up to two instances
   that would take over first.  Of the time in which a configuration must be in
   force, 300 ms are left for the others to fetch it.  */
static void
reader_that_cannot_read_all_is_replaced (void)
{
  static const struct
  {
    int instances;
    clock_ms_t in_force; /* ms */
  } sites[] = { { 13, 2000 }, { 135, 2500 }, { 473, 3000 } };
  static const clock_ms_t failures[] = { 0, SILENT_READ_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (sites); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (failures); j++)
      for (int others = 0; others <= 2; others++)
        for (int offset = 0; offset < READ_INTERVAL_MS; offset += 190)
          {
            fixture_t fixture;
            clock_ms_t age;

            fixture_start (&fixture, sites[i].instances);
            fixture.config_failure = failures[j];
            run_for (&fixture, 3000 + offset);
            age = measure_config_age (&fixture, others);
            g_test_message ("%d instances, %d others refused, failure after "
                            "%d ms: %d ms",
                            sites[i].instances, others, (int)failures[j],
                            (int)age);
            g_assert_cmpint (age, <=, sites[i].in_force - 300);
            g_assert_cmpint (count_readers (&fixture), ==, 1);
          }
}

/* Guards against readers that replace each other without end while none can
   read everything, against a reader that then does not go on with the
   endpoints, and against too many calls of the store: four a second are to be
   made by all instances together beside those of the reader, twice as many are
   allowed.  When one instance can read all again, it takes over.  */
static void
readers_do_not_alternate (void)
{
  static const clock_ms_t failures[] = { 0, SILENT_READ_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (failures); i++)
    {
      fixture_t fixture;

      fixture_start (&fixture, 13);
      fixture.config_failure = failures[i];
      run_for (&fixture, 3000);
      for (int j = 0; j < fixture.count; j++)
        refuse_config (&fixture, &fixture.instances[j]);
      fixture.reader_changes = 0;
      fixture.calls = 0;
      for (int j = 0; j < 1000; j++)
        {
          run_for (&fixture, STEP_MS);
          g_assert_cmpint (get_greatest_age (&fixture), <, 2000);
        }
      g_assert_cmpint (fixture.reader_changes, ==, 0);
      g_assert_cmpint (fixture.calls, <=, 18 + 10 * 8);
      /* The reader ends; another one goes on.  */
      for (int j = 0; j < fixture.count; j++)
        fixture.instances[j].dead |= fixture.instances[j].reader.is_reader;
      run_for (&fixture, 2000);
      g_assert_cmpint (count_readers (&fixture), ==, 1);
      g_assert_cmpint (get_greatest_age (&fixture), <, 2000);
      fixture.instances[7].config_refused = false;
      run_for (&fixture, 5000);
      g_assert_true (fixture.instances[7].reader.is_reader);
      g_assert_cmpint (count_readers (&fixture), ==, 1);
    }
}

/* Guards against a weak reader and one that is not weak that replace each
   other without end: only the weak one can read everything.  */
static void
weak_reader_that_alone_reads_all_remains (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 2);
  fixture.instances[0].reader.weak = true;
  refuse_config (&fixture, &fixture.instances[1]);
  run_for (&fixture, 5000);
  fixture.reader_changes = 0;
  run_for (&fixture, 10000);
  g_assert_true (fixture.instances[0].reader.is_reader);
  g_assert_cmpint (fixture.reader_changes, ==, 0);
}

/* Guards against outdated state in an instance that is partitioned from the
   others and keeps waiting for the reader's announcements.  */
static void
partitioned_instance_reads (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 13);
  run_for (&fixture, 3000);
  fixture.instances[7].partitioned = true;
  run_for (&fixture, 1500);
  g_assert_true (fixture.instances[7].reader.is_reader);
  g_assert_cmpint (get_greatest_age (&fixture), <, 2000);
  fixture.instances[7].partitioned = false;
  run_for (&fixture, 1500);
  g_assert_cmpint (count_readers (&fixture), ==, 1);
}

/* Guards against a weak instance, on a small machine, that stays the reader
   after an outage, although its bandwidth is too low for what the others fetch
   from it.  A search for faults at the grown kbl site used such a
   configuration.  */
static void
weak_reader_is_preempted (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 13);
  for (int i = 0; i < 6; i++)
    fixture.instances[i].reader.weak = true;
  /* Only the weak instances are live at first.  */
  for (int i = 6; i < 13; i++)
    fixture.instances[i].dead = true;
  run_for (&fixture, 3000);
  g_assert_cmpint (count_readers (&fixture), ==, 1);
  for (int i = 6; i < 13; i++)
    fixture.instances[i].dead = false;
  run_for (&fixture, 2500);
  g_assert_cmpint (count_readers (&fixture), ==, 1);
  for (int i = 0; i < 6; i++)
    g_assert_false (fixture.instances[i].reader.is_reader);
}

/* Guards against clients that have to wait after a power failure of all
   instances.  The machines start again within 300 ms of each other, the seeds
   (the first three instances) last.  One instance must have read the store
   before the last one starts.  */
static void
all_restart_after_a_power_failure (void)
{
  fixture_t fixture;
  clock_ms_t first_read_after_ms = 0;

  fixture_start (&fixture, 13);
  for (int i = 0; i < 3; i++)
    fixture.instances[i].dead = true;
  for (clock_ms_t elapsed_ms = 0; elapsed_ms < 300; elapsed_ms += STEP_MS)
    {
      run_for (&fixture, STEP_MS);
      for (int i = 3; i < fixture.count && first_read_after_ms == 0; i++)
        if (fixture.instances[i].known_read_at != 0)
          first_read_after_ms = elapsed_ms;
    }
  g_assert_cmpint (first_read_after_ms, >, 0);
  /* 10 instances are live, and none reads the store twice in this time.  */
  g_assert_cmpint (fixture.calls, <=, 10);
}

/* Guards against too many store calls during an outage of the store, and
   against a slow recovery after it.  During the outage, all instances together
   are to make four attempts a second; the test allows twice as many.  */
static void
retries_are_few_during_an_outage (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 24);
  run_for (&fixture, 3000);
  fixture.store_unreachable = true;
  run_for (&fixture, 3000);
  fixture.calls = 0;
  run_for (&fixture, 10000);
  g_assert_cmpint (fixture.calls, <=, 10 * 8);
  fixture.store_unreachable = false;
  run_for (&fixture, 1500);
  g_assert_cmpint (get_greatest_age (&fixture), <, 2000);
}

/* Guards against a read of the store by all weak instances at the same time
   (107 of 115 on a start): each has heard a reader but knows no other live
   instance, so that its rank is 0.  Others are to try before, up to those of
   rank 9.  */
static void
weak_instances_wait_for_others (void)
{
  const reader_announcement_t announcement = { .name = "a", .fresh = true };
  reader_t weak;
  reader_t other;

  reader_init (&weak, true, 1000);
  reader_init (&other, false, 1000);
  (void)reader_handle_announcement (&weak, "b", &announcement, 1100);
  (void)reader_handle_announcement (&other, "c", &announcement, 1100);
  for (clock_ms_t now = 1100; !reader_should_take_over (&other, 9, now);
       now += STEP_MS)
    g_assert_false (reader_should_take_over (&weak, 0, now));
  g_assert_true (reader_should_take_over (&weak, 0, 3000));
}

/* Guards against instances that hear nothing of each other because the reader
   has ended while nobody can read the store.  */
static void
somebody_announces_during_an_outage (void)
{
  fixture_t fixture;
  int readers = 0;

  fixture_start (&fixture, 12);
  run_for (&fixture, 3000);
  fixture.store_unreachable = true;
  run_for (&fixture, 2000);
  for (int i = 0; i < fixture.count; i++)
    fixture.instances[i].dead |= fixture.instances[i].reader.is_reader;
  run_for (&fixture, 4000);
  for (int i = 0; i < fixture.count; i++)
    {
      const instance_t *instance = &fixture.instances[i];

      if (instance->dead)
        continue;
      readers += instance->reader.is_reader;
      g_assert_true (instance->reader.is_reader
                     || fixture.now - instance->reader.last_announcement_at
                            <= ANNOUNCE_INTERVAL_MS);
    }
  g_assert_cmpint (readers, ==, 1);
  fixture.store_unreachable = false;
  run_for (&fixture, 5000);
  for (int i = 0; i < fixture.count; i++)
    if (!fixture.instances[i].dead)
      g_assert_cmpint (fixture.now - fixture.instances[i].known_read_at, <,
                       1500);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reader/one_reads_for_all", one_instance_reads_the_store);
  g_test_add_func ("/reader/killed_reader_is_replaced",
                   killed_reader_is_replaced);
  g_test_add_func ("/reader/refused_reader_is_replaced",
                   refused_reader_is_replaced);
  g_test_add_func ("/reader/reader_that_cannot_read_says_so",
                   reader_that_cannot_read_says_so);
  g_test_add_func ("/reader/reader_that_cannot_read_all_is_replaced",
                   reader_that_cannot_read_all_is_replaced);
  g_test_add_func ("/reader/readers_do_not_alternate",
                   readers_do_not_alternate);
  g_test_add_func ("/reader/weak_reader_that_alone_reads_all_remains",
                   weak_reader_that_alone_reads_all_remains);
  g_test_add_func ("/reader/cut_off_instance_reads",
                   partitioned_instance_reads);
  g_test_add_func ("/reader/small_reader_is_relieved",
                   weak_reader_is_preempted);
  g_test_add_func ("/reader/weak_instances_wait_for_others",
                   weak_instances_wait_for_others);
  g_test_add_func ("/reader/all_start_again",
                   all_restart_after_a_power_failure);
  g_test_add_func ("/reader/tries_are_few_while_away",
                   retries_are_few_during_an_outage);
  g_test_add_func ("/reader/somebody_announces_during_an_outage",
                   somebody_announces_during_an_outage);
  return g_test_run ();
}
