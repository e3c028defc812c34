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

/* Capacity of the ring buffer if the settings state none.  */
#define RING_LINES_DEFAULT 4096
/* Time after telemetry_stop() during which lines are still written.  The time
   is limited because a process that does not read from its end of the log's
   pipe must not prevent this process from exiting.  */
#define STOP_TIMEOUT_MS 1000
/* Limit of the number of fields of a message; further fields are not
   logged.  */
#define FIELDS_MAX 32

/* An entry of the ring buffer.  */
typedef struct queued_line
{
  int fd;        /* descriptor to which the line is written */
  GString *line; /* JSON text, ended by a newline */
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
  mailbox_t *queue;            /* ring buffer of queued_line_t * */
  pthread_t thread;            /* writer thread */
  char instance[64];           /* name of this instance */
  double trace_sampling_ratio; /* fraction of traces written, 0 to 1 */
  int log_fd;                  /* descriptor to which log lines are written */
  bool writer_installed; /* write_log() is installed in GLib, which accepts a
                            writer function only once */
  atomic_bool running;   /* lines are passed to the writer thread */
  atomic_bool stopping;  /* the writer thread ends when @queue is empty */
  atomic_int level;      /* GLogLevelFlags; the least severe level logged */
  atomic_int_fast64_t write_deadline_us; /* monotonic time after which a line
                                            that cannot be written at once is
                                            discarded */
  /* Number of lines that were dropped because @queue was full.  */
  atomic_uint_fast64_t dropped;
  uint64_t dropped_reported; /* value of @dropped that was last logged */
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
  /* This is set before the writer thread starts.  If the thread set it, lines
     dropped before it first runs would not be reported.  */
  logger.dropped_reported = telemetry_dropped_lines ();
  /* The writer thread blocks all signals, as other threads handle them and as
     SIGPIPE would end the process when standard error is closed.  */
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

/* The ring buffer is not freed here, because another thread that has read
   logger.running while it was still set may put a line into it
   afterwards.  */
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

/* Writer function of GLib: formats a log message as a line and submits it.
   GLib's levels are bits, of which a more severe one has a lower value.  */
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
  /* A fatal message is written here, because GLib aborts the process before
     the writer thread could write it.  */
  log_submit (logger.log_fd, line, fatal);
  return G_LOG_WRITER_HANDLED;
}

/* Appends the fields of a log message as members with their names in lower
   case.  Fields without a value, the source position (CODE_*) and the fields
   in excluded_keys are left out.  */
static void
append_fields (GString *line, const GLogField *fields, gsize count)
{
  /* The last three keys would repeat members that write_log() has already
     appended.  */
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

/* Logs how many lines were dropped since the last such log line.  It is called
   after a line was written, because the descriptor then accepts lines
   again.  */
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

/* Writes a text, in parts of at most PIPE_BUF bytes, which do not block once
   poll() reports a pipe as writable.  After the deadline that telemetry_stop()
   sets, the rest is discarded if it cannot be written at once.  */
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
