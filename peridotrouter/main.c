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

/* A planned stop ends after this even when the slices could not be handed
   over; they are then taken over like those of a lost instance.  */
#define STOP_MAX_MS 15000
#define STOP_CHECK_US 20000

static void raise_descriptor_limit (void);
static int run (const conf_settings_t *settings, const char *recording);
static void usage (poptContext options);
static void wait_until_stopped (engine_t *engine, const serve_t *serve);

int
main (int argc, const char **argv)
{
  char *path = NULL;
  char *recording = NULL;
  int check = 0;
  int version = 0;
  struct poptOption table[]
      = { { "config", 'c', POPT_ARG_STRING, &path, 0, "settings file",
            "FILE" },
          { "check-config", 'n', POPT_ARG_NONE, &check, 0,
            "check the settings and exit", NULL },
          { "record", 'r', POPT_ARG_STRING, &recording, 0,
            "record events and decisions for diagnosis", "FILE" },
          { "version", 'V', POPT_ARG_NONE, &version, 0,
            "print the version and exit", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext options = poptGetContext ("peridotrouter", argc, argv, table, 0);
  conf_settings_t settings;
  conf_error_t error;
  int status;

  if (poptGetNextOpt (options) < -1 || (path == NULL && !version)
      || poptPeekArg (options) != NULL)
    usage (options);
  if (version)
    {
      puts ("peridotrouter " PERIDOT_VERSION);
      poptFreeContext (options);
      return 0;
    }
  poptFreeContext (options);
  if (conf_read_settings (path, &settings, &error) != 0)
    errx (1, "%s", error.text);
  free (path);
  if (check)
    {
      puts ("settings are valid");
      return 0;
    }
  status = run (&settings, recording);
  free (recording);
  return status == 0 ? 0 : 1;
}

static void
usage (poptContext options)
{
  poptPrintUsage (options, stderr, 0);
  exit (2);
}

/* Each caller's connection and each idle connection to an endpoint needs
   descriptors; the usual soft limit of 1,024 is too small.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_warning ("cannot raise the limit of open files: %s", strerror (errno));
}

static int
run (const conf_settings_t *settings, const char *recording)
{
  telemetry_settings_t telemetry = { .instance = settings->instance,
                                     .log_level = settings->log_level,
                                     .trace_sampling_ratio = settings->trace };
  engine_t *engine = NULL;
  attempts_t *attempts = NULL;
  serve_t *serve = NULL;
  control_t *control = NULL;
  sigset_t signals;
  int caught;
  int error;

  /* Blocked before any thread starts, so that all threads inherit it.  */
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  error = telemetry_start (&telemetry);
  if (error != 0)
    {
      warnx ("cannot start the log: %s", strerror (-error));
      return error;
    }
  raise_descriptor_limit ();
  error = engine_start (&engine, settings, recording);
  if (error == 0)
    error = attempts_new (&attempts, engine);
  if (error == 0)
    error = serve_start (&serve, settings, engine, attempts);
  if (error == 0)
    error = control_start (&control, settings, engine);
  if (error == 0)
    {
      g_message ("instance %s serves callers on %s", settings->instance,
                 settings->listen_callers);
      sigwait (&signals, &caught);
      g_message ("stopping on signal %d", caught);
      engine_stop (engine);
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

static void
wait_until_stopped (engine_t *engine, const serve_t *serve)
{
  clock_ms_t end = clock_now_ms () + STOP_MAX_MS;

  while (!(engine_is_stopped (engine) && serve_count_active (serve) == 0))
    {
      if (clock_now_ms () >= end && serve_count_active (serve) == 0)
        {
          g_warning ("stopping before all slices were handed over");
          return;
        }
      g_usleep (STOP_CHECK_US);
    }
}
