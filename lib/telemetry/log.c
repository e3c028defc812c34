#include "line.h"
#include "telemetry.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "mailbox.h"

#define RING_DEFAULT 4096
/* After telemetry_stop() a descriptor whose reader has stalled must not keep
   the process from ending.  */
#define STOP_MS 1000
/* Names of the line's own members are not repeated among the fields.  */
#define FIELDS_MAX 32

typedef struct entry
{
  int fd;
  GString *line;
} entry_t;

static GLogWriterOutput write_log (GLogLevelFlags level,
                                   const GLogField *fields, gsize count,
                                   gpointer context);
static void append_fields (GString *line, const GLogField *fields,
                           gsize count);
static const char *level_name (GLogLevelFlags level);
static void *run_writer (void *context);
static void report_dropped (void);
static void write_text (int fd, const char *text, size_t length);

static struct
{
  mailbox_t *box;
  pthread_t thread;
  char instance[64];
  double trace_share;
  int log_fd;
  bool installed; /* GLib takes a writer function only once */
  atomic_bool running;
  atomic_bool stopping;
  atomic_int level;
  atomic_int_fast64_t give_up; /* monotonic µs */
  atomic_uint_fast64_t dropped;
  uint64_t reported; /* of dropped; set before the writer thread starts */
} logger = { .level = G_LOG_LEVEL_INFO,
             .log_fd = STDERR_FILENO,
             .give_up = INT64_MAX };

int
telemetry_start (const telemetry_settings_t *settings)
{
  sigset_t all;
  sigset_t old;
  int result;

  if (atomic_load (&logger.running))
    return -EALREADY;
  mailbox_free (logger.box);
  logger.box
      = mailbox_new (settings->ring != 0 ? settings->ring : RING_DEFAULT);
  if (logger.box == NULL)
    return -ENOMEM;
  (void)g_strlcpy (logger.instance, settings->instance,
                   sizeof logger.instance);
  logger.log_fd = settings->log_fd != 0 ? settings->log_fd : STDERR_FILENO;
  logger.trace_share = settings->trace_share;
  telemetry_set_log_level (settings->log_level);
  atomic_store (&logger.stopping, false);
  atomic_store (&logger.give_up, INT64_MAX);
  /* Not by the thread itself: lines dropped before it first runs would not be
     reported.  */
  logger.reported = telemetry_dropped ();
  /* Signals are for the threads of the daemon; SIGPIPE from a closed
     standard error would end the process.  */
  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &old);
  result = -pthread_create (&logger.thread, NULL, run_writer, NULL);
  pthread_sigmask (SIG_SETMASK, &old, NULL);
  if (result != 0)
    return result;
  atomic_store (&logger.running, true);
  if (!logger.installed)
    g_log_set_writer_func (write_log, NULL, NULL);
  logger.installed = true;
  return 0;
}

/* The ring is kept: a thread that has just read `running` may still put a
   line into it.  */
void
telemetry_stop (void)
{
  if (!atomic_exchange (&logger.running, false))
    return;
  atomic_store (&logger.give_up,
                g_get_monotonic_time () + STOP_MS * INT64_C (1000));
  atomic_store (&logger.stopping, true);
  mailbox_wake (logger.box);
  pthread_join (logger.thread, NULL);
}

void
telemetry_set_log_level (GLogLevelFlags level)
{
  atomic_store_explicit (&logger.level, (int)level, memory_order_relaxed);
}

uint64_t
telemetry_dropped (void)
{
  return atomic_load_explicit (&logger.dropped, memory_order_relaxed);
}

const char *
log_instance (void)
{
  return logger.instance;
}

double
log_trace_share (void)
{
  return logger.trace_share;
}

/* GLib's levels are bits; a more important level has a lower value.  */
static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer context)
{
  GLogLevelFlags plain = level & G_LOG_LEVEL_MASK;
  bool fatal = (level & (G_LOG_FLAG_FATAL | G_LOG_LEVEL_ERROR)) != 0;
  GString *line;

  (void)context;
  if (!fatal
      && (int)plain
             > atomic_load_explicit (&logger.level, memory_order_relaxed))
    return G_LOG_WRITER_HANDLED;
  line = g_string_new ("{");
  line_append_time (line, "time", g_get_real_time ());
  line_append_field (line, "level", level_name (plain));
  line_append_field (line, "instance", logger.instance);
  append_fields (line, fields, count);
  /* GLib aborts after a fatal message, before the writer thread would see
     it.  */
  log_submit (logger.log_fd, line, fatal);
  return G_LOG_WRITER_HANDLED;
}

static void
append_fields (GString *line, const GLogField *fields, gsize count)
{
  static const char *const left_out[]
      = { "PRIORITY", "GLIB_OLD_LOG_API", "TIME", "LEVEL", "INSTANCE", NULL };

  for (gsize i = 0; i < count && i < FIELDS_MAX; i++)
    {
      g_autofree char *key = NULL;

      if (g_strv_contains (left_out, fields[i].key)
          || g_str_has_prefix (fields[i].key, "CODE_")
          || fields[i].value == NULL)
        continue;
      key = g_ascii_strdown (strcmp (fields[i].key, "GLIB_DOMAIN") == 0
                                 ? "DOMAIN"
                                 : fields[i].key,
                             -1);
      g_string_append_c (line, ',');
      line_append_string (line, key, -1);
      g_string_append_c (line, ':');
      line_append_string (line, fields[i].value, fields[i].length);
    }
}

static const char *
level_name (GLogLevelFlags level)
{
  switch (level)
    {
    case G_LOG_LEVEL_ERROR:
      return "error";
    case G_LOG_LEVEL_CRITICAL:
      return "critical";
    case G_LOG_LEVEL_WARNING:
      return "warning";
    case G_LOG_LEVEL_MESSAGE:
      return "notice";
    case G_LOG_LEVEL_INFO:
      return "info";
    default:
      return "debug";
    }
}

void
log_submit (int fd, GString *line, bool at_once)
{
  entry_t *entry;

  g_string_append (line, "}\n");
  if (at_once || !atomic_load (&logger.running))
    {
      write_text (fd, line->str, line->len);
      g_string_free (line, TRUE);
      return;
    }
  entry = g_new (entry_t, 1);
  *entry = (entry_t){ .fd = fd, .line = line };
  if (mailbox_put (logger.box, entry) == 0)
    return;
  atomic_fetch_add_explicit (&logger.dropped, 1, memory_order_relaxed);
  g_string_free (line, TRUE);
  g_free (entry);
}

static void *
run_writer (void *context)
{
  entry_t *entry;

  (void)context;
  for (;;)
    {
      bool stopping = atomic_load (&logger.stopping);

      entry = mailbox_get (logger.box, stopping ? 0 : -1);
      if (entry == NULL && stopping)
        break;
      if (entry == NULL)
        continue;
      write_text (entry->fd, entry->line->str, entry->line->len);
      g_string_free (entry->line, TRUE);
      g_free (entry);
      report_dropped ();
    }
  return NULL;
}

/* The loss is stated in the log itself, after a line went through.  */
static void
report_dropped (void)
{
  uint64_t dropped = telemetry_dropped ();
  GString *line;

  if (dropped == logger.reported)
    return;
  line = g_string_new ("{");
  line_append_time (line, "time", g_get_real_time ());
  line_append_field (line, "level", "warning");
  line_append_field (line, "instance", logger.instance);
  line_append_field (line, "message", "log ring full, lines dropped");
  line_append_number (line, "dropped", (int64_t)(dropped - logger.reported));
  g_string_append (line, "}\n");
  write_text (logger.log_fd, line->str, line->len);
  g_string_free (line, TRUE);
  logger.reported = dropped;
}

/* Writes pieces of at most PIPE_BUF, which do not block once a pipe is
   writable, so that the time limit of a stop holds.  */
static void
write_text (int fd, const char *text, size_t length)
{
  struct pollfd pfd = { .fd = fd, .events = POLLOUT };

  while (length > 0)
    {
      bool late = g_get_monotonic_time () > atomic_load (&logger.give_up);
      ssize_t n;

      if (poll (&pfd, 1, late ? 0 : 100) <= 0)
        {
          if (late)
            return;
          continue;
        }
      n = write (fd, text, MIN (length, PIPE_BUF));
      if (n < 0 && errno != EINTR && errno != EAGAIN)
        return;
      if (n > 0)
        {
          text += n;
          length -= (size_t)n;
        }
    }
}
