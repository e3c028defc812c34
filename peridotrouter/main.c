#include <err.h>
#include <errno.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <urcu.h>

#include "attempt.h"
#include "conf.h"
#include "control.h"
#include "engine.h"
#include "serve.h"
#include "telemetry.h"

/* Longest time that a graceful shutdown waits until the slices that this
   instance owns are handed over.  The other instances take over the slices
   that are left, as if this instance had failed.  */
#define SHUTDOWN_TIMEOUT_MS 15000
#define SHUTDOWN_POLL_INTERVAL_US 20000

static void block_stop_signals (sigset_t *signals);
static void raise_descriptor_limit (void);
static int run_router (const conf_settings_t *settings,
                       const char *recording_path,
                       const sigset_t *stop_signals);
static void usage (poptContext options);
static void wait_until_stopped (engine_t *engine, const serve_t *serve);

int
main (int argc, const char **argv)
{
  char *settings_path = NULL;
  char *recording_path = NULL;
  int check_only = 0;
  int print_version = 0;
  struct poptOption table[]
      = { { "config", 'c', POPT_ARG_STRING, &settings_path, 0, "settings file",
            "FILE" },
          { "check-config", 'n', POPT_ARG_NONE, &check_only, 0,
            "check the settings and exit", NULL },
          { "record", 'r', POPT_ARG_STRING, &recording_path, 0,
            "record events and decisions for diagnosis", "FILE" },
          { "version", 'V', POPT_ARG_NONE, &print_version, 0,
            "print the version and exit", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext options = poptGetContext ("peridotrouter", argc, argv, table, 0);
  conf_settings_t settings;
  conf_error_t error;
  sigset_t stop_signals;
  int status;

  if (poptGetNextOpt (options) < -1
      || (settings_path == NULL && !print_version)
      || poptPeekArg (options) != NULL)
    usage (options);
  if (print_version)
    {
      puts ("peridotrouter " PERIDOT_VERSION);
      poptFreeContext (options);
      return 0;
    }
  poptFreeContext (options);
  if (!check_only)
    block_stop_signals (&stop_signals);
  if (conf_read_settings (settings_path, &settings, &error) != 0)
    errx (1, "%s", error.text);
  free (settings_path);
  if (check_only)
    {
      puts ("settings are valid");
      return 0;
    }
  status = run_router (&settings, recording_path, &stop_signals);
  free (recording_path);
  return status == 0 ? 0 : 1;
}

static void
usage (poptContext options)
{
  poptPrintUsage (options, stderr, 0);
  exit (2);
}

/* Keeps the signals that stop the process pending until run_router() waits for
   them.  To be called before any thread starts, since threads inherit the
   signal mask.  */
static void
block_stop_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
}

/* Each client connection and each idle connection to an endpoint needs
   descriptors, for which the usual soft limit of 1,024 is too small.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_warning ("cannot raise the limit on open files: %s", strerror (errno));
}

static int
run_router (const conf_settings_t *settings, const char *recording_path,
            const sigset_t *stop_signals)
{
  telemetry_settings_t telemetry = { .instance = settings->instance,
                                     .log_level = settings->log_level,
                                     .trace_sampling_ratio = settings->trace };
  engine_t *engine = NULL;
  attempts_t *attempts = NULL;
  serve_t *serve = NULL;
  control_t *control = NULL;
  int signal_number;
  int error;

  signal (SIGPIPE, SIG_IGN);
  error = telemetry_start (&telemetry);
  if (error != 0)
    {
      warnx ("cannot start the log: %s", strerror (-error));
      return error;
    }
  raise_descriptor_limit ();
  error = engine_start (&engine, settings, recording_path);
  if (error == 0)
    error = attempts_new (&attempts, engine);
  if (error == 0)
    error = serve_start (&serve, settings, engine, attempts);
  if (error == 0)
    error = control_start (&control, settings, engine);
  if (error == 0)
    {
      g_message ("instance %s serves callers on %s", settings->instance,
                 settings->listen_clients);
      sigwait (stop_signals, &signal_number);
      g_message ("stopping on signal %d", signal_number);
      engine_begin_shutdown (engine);
      wait_until_stopped (engine, serve);
    }
  serve_stop (serve);
  control_stop (control);
  engine_free (engine);
  attempts_free (attempts);
  if (error == 0)
    g_message ("stopped");
  telemetry_stop ();
  return error;
}

/* Waits for the handover of the slices and the end of all requests in
   progress; only the former is limited by SHUTDOWN_TIMEOUT_MS.  */
static void
wait_until_stopped (engine_t *engine, const serve_t *serve)
{
  clock_ms_t deadline = clock_now_ms () + SHUTDOWN_TIMEOUT_MS;

  while (!(engine_is_stopped (engine) && serve_count_active (serve) == 0))
    {
      if (clock_now_ms () >= deadline && serve_count_active (serve) == 0)
        {
          g_warning ("shutdown timed out before all slices were handed over");
          return;
        }
      g_usleep (SHUTDOWN_POLL_INTERVAL_US);
    }
}
