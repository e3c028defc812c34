#include "mailbox.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <sched.h>
#include <time.h>

#define PRODUCERS 4
#define ENTRIES_PER_PRODUCER 2000
/* Numbers of producers and of entries of each producer in
   test_many_producers_on_one_cpu().  */
#define CROWDED_PRODUCERS 64
#define CROWDED_ENTRIES_PER_PRODUCER 500
/* Limit of the CPU time that test_many_producers_on_one_cpu() may use.  Each
   of its 32,000 entries takes at most about 10 us, even under a sanitizer.  */
#define CROWDED_CPU_MAX_MS 3000

static void *
put_entries_yielding (void *arg)
{
  mailbox_t *box = arg;

  for (int i = 1; i <= ENTRIES_PER_PRODUCER; i++)
    while (mailbox_put (box, GINT_TO_POINTER (i)) != 0)
      g_thread_yield ();
  return NULL;
}

/* Guards against entries that are lost or duplicated when several producers
   find the mailbox full at the same time.  */
static void
test_many_producers (void)
{
  mailbox_t *box = mailbox_new (64);
  pthread_t threads[PRODUCERS];
  long sum = 0;

  for (int i = 0; i < PRODUCERS; i++)
    g_assert_cmpint (
        pthread_create (&threads[i], NULL, put_entries_yielding, box), ==, 0);
  for (int i = 0; i < PRODUCERS * ENTRIES_PER_PRODUCER; i++)
    {
      void *entry = NULL;

      while (entry == NULL)
        entry = mailbox_get (box, 1000);
      sum += GPOINTER_TO_INT (entry);
    }
  for (int i = 0; i < PRODUCERS; i++)
    pthread_join (threads[i], NULL);
  g_assert_cmpint (sum, ==,
                   (long)PRODUCERS * ENTRIES_PER_PRODUCER
                       * (ENTRIES_PER_PRODUCER + 1) / 2);
  g_assert_null (mailbox_get (box, 0));
  mailbox_free (box);
}

static void *
put_entries_sleeping (void *arg)
{
  for (int i = 1; i <= CROWDED_ENTRIES_PER_PRODUCER; i++)
    while (mailbox_put (arg, GINT_TO_POINTER (i)) != 0)
      g_usleep (1000);
  return NULL;
}

/* Guards against producers that spin while another producer is preempted: when
   many threads share one CPU, this takes much CPU time.  */
static void
test_many_producers_on_one_cpu (void)
{
  mailbox_t *box = mailbox_new (1024);
  pthread_t threads[CROWDED_PRODUCERS];
  cpu_set_t previous_affinity;
  cpu_set_t single_cpu;
  gint64 cpu_start_ms;
  struct timespec cpu_time;

  g_assert_cmpint (
      sched_getaffinity (0, sizeof previous_affinity, &previous_affinity), ==,
      0);
  CPU_ZERO (&single_cpu);
  for (int i = 0; CPU_COUNT (&single_cpu) == 0; i++)
    if (CPU_ISSET (i, &previous_affinity))
      CPU_SET (i, &single_cpu);
  g_assert_cmpint (sched_setaffinity (0, sizeof single_cpu, &single_cpu), ==,
                   0);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  cpu_start_ms = (gint64)cpu_time.tv_sec * 1000 + cpu_time.tv_nsec / 1000000;
  for (int i = 0; i < CROWDED_PRODUCERS; i++)
    g_assert_cmpint (
        pthread_create (&threads[i], NULL, put_entries_sleeping, box), ==, 0);
  for (int i = 0; i < CROWDED_PRODUCERS * CROWDED_ENTRIES_PER_PRODUCER;)
    i += mailbox_get (box, 1000) != NULL;
  for (int i = 0; i < CROWDED_PRODUCERS; i++)
    pthread_join (threads[i], NULL);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  g_assert_cmpint ((gint64)cpu_time.tv_sec * 1000 + cpu_time.tv_nsec / 1000000
                       - cpu_start_ms,
                   <, CROWDED_CPU_MAX_MS);
  g_assert_cmpint (
      sched_setaffinity (0, sizeof previous_affinity, &previous_affinity), ==,
      0);
  mailbox_free (box);
}

/* Guards against a producer that blocks, or overwrites an entry, when the
   mailbox is full.  */
static void
test_full_mailbox (void)
{
  mailbox_t *box = mailbox_new (4);
  int accepted = 0;

  while (mailbox_put (box, GINT_TO_POINTER (accepted + 1)) == 0)
    accepted++;
  g_assert_cmpint (accepted, ==, 3);
  g_assert_cmpint (mailbox_put (box, box), ==, -EAGAIN);
  for (int i = 1; i <= accepted; i++)
    g_assert_cmpint (GPOINTER_TO_INT (mailbox_get (box, 0)), ==, i);
  mailbox_free (box);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mailbox/many-writers", test_many_producers);
  g_test_add_func ("/mailbox/crowded", test_many_producers_on_one_cpu);
  g_test_add_func ("/mailbox/full", test_full_mailbox);
  return g_test_run ();
}
