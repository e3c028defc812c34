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

#define RING_LINES_DEFAULT 4096
/* Limits the writing after telemetry_stop(), so that a reader that has stalled
   does not keep the process from exiting.  */
#define STOP_TIMEOUT_MS 1000
/* Fields of a message beyond this number are not logged.  */
#define FIELDS_MAX 32

typedef struct queued_line
{
  int fd;
  GString *line;
} queued_line_t;

static GLogWriterOutput write_log (GLogLevelFlags level,
                                   const GLogField *fields, gsize count,
                                   gpointer context);
static void append_fields (GString *line, const GLogField *fields,
                           gsize count);
static const char *level_name (GLogLevelFlags level);
static void *run_writer (void *context);
static void log_dropped_lines (void);
static void write_until_deadline (int fd, const char *text, size_t length);

static struct
{
  mailbox_t *queue;
  pthread_t thread;
  char instance[64];
  double trace_sampling_ratio;
  int log_fd;
  bool writer_installed; /* GLib accepts a writer function only once */
  atomic_bool running;
  atomic_bool stopping;
  atomic_int level;
  atomic_int_fast64_t write_deadline_us; /* monotonic time */
  atomic_uint_fast64_t dropped;
  uint64_t dropped_reported; /* value of dropped when last logged */
} logger = { .level = G_LOG_LEVEL_INFO,
             .log_fd = STDERR_FILENO,
             .write_deadline_us = INT64_MAX };

int
telemetry_start (const telemetry_settings_t *settings)
{
  sigset_t all_signals;
  sigset_t old_signals;
  int result;

  if (atomic_load (&logger.running))
    return -EALREADY;
  mailbox_free (logger.queue);
  logger.queue = mailbox_new (settings->ring_lines != 0 ? settings->ring_lines
                                                        : RING_LINES_DEFAULT);
  if (logger.queue == NULL)
    return -ENOMEM;
  (void)g_strlcpy (logger.instance, settings->instance,
                   sizeof logger.instance);
  logger.log_fd = settings->log_fd != 0 ? settings->log_fd : STDERR_FILENO;
  logger.trace_sampling_ratio = settings->trace_sampling_ratio;
  telemetry_set_log_level (settings->log_level);
  atomic_store (&logger.stopping, false);
  atomic_store (&logger.write_deadline_us, INT64_MAX);
  /* Set before the writer thread starts; if the thread set it, lines dropped
     before it first runs would not be reported.  */
  logger.dropped_reported = telemetry_dropped_lines ();
  /* The writer thread blocks all signals: other threads handle them, and
     SIGPIPE from a closed standard error would end the process.  */
  sigfillset (&all_signals);
  pthread_sigmask (SIG_SETMASK, &all_signals, &old_signals);
  result = -pthread_create (&logger.thread, NULL, run_writer, NULL);
  pthread_sigmask (SIG_SETMASK, &old_signals, NULL);
  if (result != 0)
    return result;
  atomic_store (&logger.running, true);
  if (!logger.writer_installed)
    g_log_set_writer_func (write_log, NULL, NULL);
  logger.writer_installed = true;
  return 0;
}

/* The ring buffer is not freed, because a thread that has just read
   logger.running may still put a line into it.  */
void
telemetry_stop (void)
{
  if (!atomic_exchange (&logger.running, false))
    return;
  atomic_store (&logger.write_deadline_us,
                g_get_monotonic_time () + STOP_TIMEOUT_MS * INT64_C (1000));
  atomic_store (&logger.stopping, true);
  mailbox_wake (logger.queue);
  pthread_join (logger.thread, NULL);
}

void
telemetry_set_log_level (GLogLevelFlags level)
{
  atomic_store_explicit (&logger.level, (int)level, memory_order_relaxed);
}

uint64_t
telemetry_dropped_lines (void)
{
  return atomic_load_explicit (&logger.dropped, memory_order_relaxed);
}

const char *
log_instance_name (void)
{
  return logger.instance;
}

double
log_trace_sampling_ratio (void)
{
  return logger.trace_sampling_ratio;
}

/* GLib's levels are bits; a more severe level has a lower value.  */
static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer context)
{
  GLogLevelFlags severity = level & G_LOG_LEVEL_MASK;
  bool fatal = (level & (G_LOG_FLAG_FATAL | G_LOG_LEVEL_ERROR)) != 0;
  GString *line;

  (void)context;
  if (!fatal
      && (int)severity
             > atomic_load_explicit (&logger.level, memory_order_relaxed))
    return G_LOG_WRITER_HANDLED;
  line = g_string_new ("{");
  line_append_time (line, "time", g_get_real_time ());
  line_append_field (line, "level", level_name (severity));
  line_append_field (line, "instance", logger.instance);
  append_fields (line, fields, count);
  /* GLib aborts after a fatal message, before the writer thread could write
     it.  */
  log_submit (logger.log_fd, line, fatal);
  return G_LOG_WRITER_HANDLED;
}

static void
append_fields (GString *line, const GLogField *fields, gsize count)
{
  /* write_log() has written the last three members itself.  */
  static const char *const excluded_keys[]
      = { "PRIORITY", "GLIB_OLD_LOG_API", "TIME", "LEVEL", "INSTANCE", NULL };

  for (gsize i = 0; i < count && i < FIELDS_MAX; i++)
    {
      g_autofree char *key = NULL;

      if (g_strv_contains (excluded_keys, fields[i].key)
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
log_submit (int fd, GString *line, bool synchronous)
{
  queued_line_t *queued;

  g_string_append (line, "}\n");
  if (synchronous || !atomic_load (&logger.running))
    {
      write_until_deadline (fd, line->str, line->len);
      g_string_free (line, TRUE);
      return;
    }
  queued = g_new (queued_line_t, 1);
  *queued = (queued_line_t){ .fd = fd, .line = line };
  if (mailbox_put (logger.queue, queued) == 0)
    return;
  atomic_fetch_add_explicit (&logger.dropped, 1, memory_order_relaxed);
  g_string_free (line, TRUE);
  g_free (queued);
}

static void *
run_writer (void *context)
{
  queued_line_t *queued;

  (void)context;
  for (;;)
    {
      bool stopping = atomic_load (&logger.stopping);

      queued = mailbox_get (logger.queue, stopping ? 0 : -1);
      if (queued == NULL && stopping)
        break;
      if (queued == NULL)
        continue;
      write_until_deadline (queued->fd, queued->line->str, queued->line->len);
      g_string_free (queued->line, TRUE);
      g_free (queued);
      log_dropped_lines ();
    }
  return NULL;
}

/* Logs how many lines were dropped since the last report.  It is called after
   a line was written, when the reader accepts lines again.  */
static void
log_dropped_lines (void)
{
  uint64_t dropped = telemetry_dropped_lines ();
  GString *line;

  if (dropped == logger.dropped_reported)
    return;
  line = g_string_new ("{");
  line_append_time (line, "time", g_get_real_time ());
  line_append_field (line, "level", "warning");
  line_append_field (line, "instance", logger.instance);
  line_append_field (line, "message", "log ring full, lines dropped");
  line_append_number (line, "dropped",
                      (int64_t)(dropped - logger.dropped_reported));
  g_string_append (line, "}\n");
  write_until_deadline (logger.log_fd, line->str, line->len);
  g_string_free (line, TRUE);
  logger.dropped_reported = dropped;
}

/* Writes at most PIPE_BUF bytes at a time, which do not block once poll()
   reports a pipe as writable, so that the time limit of telemetry_stop()
   holds.  After that limit the rest is discarded when it cannot be written at
   once.  */
static void
write_until_deadline (int fd, const char *text, size_t length)
{
  struct pollfd pfd = { .fd = fd, .events = POLLOUT };

  while (length > 0)
    {
      bool is_past_deadline
          = g_get_monotonic_time () > atomic_load (&logger.write_deadline_us);
      ssize_t n;

      if (poll (&pfd, 1, is_past_deadline ? 0 : 100) <= 0)
        {
          if (is_past_deadline)
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
