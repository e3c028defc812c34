#include "mailbox.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <sched.h>
#include <time.h>

#define WRITERS 4
#define ENTRIES 2000
#define CROWD 64
#define CROWD_ENTRIES 500
/* 32,000 entries take about 10 us each at most, with a sanitizer too.  */
#define CROWD_CPU_MS 3000

static void *
write_entries (void *arg)
{
  mailbox_t *box = arg;

  for (int i = 1; i <= ENTRIES; i++)
    while (mailbox_put (box, GINT_TO_POINTER (i)) != 0)
      g_thread_yield ();
  return NULL;
}

/* Guards against entries lost or doubled when writers meet a full ring.  */
static void
test_many_writers (void)
{
  mailbox_t *box = mailbox_new (64);
  pthread_t threads[WRITERS];
  long sum = 0;

  for (int i = 0; i < WRITERS; i++)
    g_assert_cmpint (pthread_create (&threads[i], NULL, write_entries, box),
                     ==, 0);
  for (int i = 0; i < WRITERS * ENTRIES; i++)
    {
      void *entry = NULL;

      while (entry == NULL)
        entry = mailbox_get (box, 1000);
      sum += GPOINTER_TO_INT (entry);
    }
  for (int i = 0; i < WRITERS; i++)
    pthread_join (threads[i], NULL);
  g_assert_cmpint (sum, ==, (long)WRITERS * ENTRIES * (ENTRIES + 1) / 2);
  g_assert_null (mailbox_get (box, 0));
  mailbox_free (box);
}

static void *
write_some (void *arg)
{
  for (int i = 1; i <= CROWD_ENTRIES; i++)
    while (mailbox_put (arg, GINT_TO_POINTER (i)) != 0)
      g_usleep (1000);
  return NULL;
}

/* Guards against writers that spin while one of them is preempted: many
   threads share one processor here.  */
static void
test_crowded (void)
{
  mailbox_t *box = mailbox_new (1024);
  pthread_t threads[CROWD];
  cpu_set_t before;
  cpu_set_t one;
  gint64 start;
  struct timespec cpu;

  g_assert_cmpint (sched_getaffinity (0, sizeof before, &before), ==, 0);
  CPU_ZERO (&one);
  for (int i = 0; CPU_COUNT (&one) == 0; i++)
    if (CPU_ISSET (i, &before))
      CPU_SET (i, &one);
  g_assert_cmpint (sched_setaffinity (0, sizeof one, &one), ==, 0);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &cpu);
  start = (gint64)cpu.tv_sec * 1000 + cpu.tv_nsec / 1000000;
  for (int i = 0; i < CROWD; i++)
    g_assert_cmpint (pthread_create (&threads[i], NULL, write_some, box), ==,
                     0);
  for (int i = 0; i < CROWD * CROWD_ENTRIES;)
    i += mailbox_get (box, 1000) != NULL;
  for (int i = 0; i < CROWD; i++)
    pthread_join (threads[i], NULL);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &cpu);
  g_assert_cmpint ((gint64)cpu.tv_sec * 1000 + cpu.tv_nsec / 1000000 - start,
                   <, CROWD_CPU_MS);
  g_assert_cmpint (sched_setaffinity (0, sizeof before, &before), ==, 0);
  mailbox_free (box);
}

/* Guards against a writer that blocks, or overwrites, when the ring is
   full.  */
static void
test_full (void)
{
  mailbox_t *box = mailbox_new (4);
  int put = 0;

  while (mailbox_put (box, GINT_TO_POINTER (put + 1)) == 0)
    put++;
  g_assert_cmpint (put, ==, 3);
  g_assert_cmpint (mailbox_put (box, box), ==, -EAGAIN);
  for (int i = 1; i <= put; i++)
    g_assert_cmpint (GPOINTER_TO_INT (mailbox_get (box, 0)), ==, i);
  mailbox_free (box);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mailbox/many-writers", test_many_writers);
  g_test_add_func ("/mailbox/crowded", test_crowded);
  g_test_add_func ("/mailbox/full", test_full);
  return g_test_run ();
}
