#include "ctl.h"
#include "logs.h"

#include <curl/curl.h>
#include <err.h>
#include <errno.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URL_DEFAULT "http://127.0.0.1:8081"
#define ARGS_MAX 64 /* log files among them */

static ctl_exit_t usage (poptContext options);
static bool parse_number (const char *text, uint64_t *number);
static ctl_exit_t run (poptContext options, const ctl_t *ctl,
                       const char *args[], int count);
static ctl_exit_t run_collection (poptContext options, const ctl_t *ctl,
                                  const char *args[], int count);

int
main (int argc, char **argv)
{
  const char *const fallback[] = { URL_DEFAULT, NULL };
  const char *args[ARGS_MAX + 1] = { NULL };
  const char **urls = NULL;
  char *expect = NULL;
  char *wait = NULL;
  ctl_t ctl = { .timeout_s = 10 };
  int json = 0;
  int version = 0;
  int count = 0;
  int status = CTL_OK;
  const struct poptOption table[]
      = { { "admin", 'a', POPT_ARG_ARGV, (void *)&urls, 0,
            "address of an instance's admin listener; may be repeated",
            "ADMIN-URL" },
          { "json", 'j', POPT_ARG_NONE, &json, 0, "print the JSON answer",
            NULL },
          { "expect", 'e', POPT_ARG_STRING, &expect, 0,
            "change only this version; 0: only create", "VERSION" },
          { "wait-for-version", 'w', POPT_ARG_STRING, &wait, 0,
            "wait until this revision is in force", "REVISION" },
          { "timeout", 't', POPT_ARG_INT, &ctl.timeout_s, 0,
            "longest wait in seconds, default 10", "SECONDS" },
          { "version", 'V', POPT_ARG_NONE, &version, 0,
            "print the version and exit", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext options
      = poptGetContext ("peridotctl", argc, (const char **)argv, table, 0);
  int result;

  poptSetOtherOptionHelp (options, "[OPTION...] COMMAND");
  result = poptGetNextOpt (options);
  if (result < -1)
    {
      warnx ("%s: %s", poptBadOption (options, 0), poptStrerror (result));
      status = usage (options);
      goto out;
    }
  if (version)
    {
      puts ("peridotctl " PERIDOT_VERSION);
      goto out;
    }
  while (count <= ARGS_MAX && (args[count] = poptGetArg (options)) != NULL)
    count++;
  ctl.urls = urls != NULL ? urls : fallback;
  ctl.json = json != 0;
  ctl.has_expect = expect != NULL;
  ctl.has_wait = wait != NULL;
  if ((expect != NULL && !parse_number (expect, &ctl.expect))
      || (wait != NULL && !parse_number (wait, &ctl.wait_revision))
      || ctl.timeout_s < 0)
    {
      warnx ("--expect, --wait-for-version and --timeout take whole numbers "
             "from 0");
      status = usage (options);
      goto out;
    }
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    errx (CTL_UNREACHED, "libcurl can't be set up");
  status = run (options, &ctl, args, count);
  curl_global_cleanup ();

out:
  poptFreeContext (options);
  free (expect);
  free (wait);
  for (size_t i = 0; urls != NULL && urls[i] != NULL; i++)
    free ((void *)urls[i]);
  free (urls);
  return status;
}

static ctl_exit_t
usage (poptContext options)
{
  poptPrintUsage (options, stderr, 0);
  (void)fputs ("commands: profiles|services|group list\n"
               "          profiles|services|group get NAME\n"
               "          profiles|services|group check FILE\n"
               "          profiles|services|group put NAME FILE "
               "[--expect VERSION]\n"
               "          profiles|services|group delete NAME "
               "[--expect VERSION]\n"
               "          data-centre NAME out|in\n"
               "          instance NAME out|in|forget\n"
               "          status [--wait-for-version REVISION "
               "[--timeout SECONDS]]\n"
               "          explain REQUEST-ID LOG-FILE...\n"
               "          summary LOG-FILE...\n",
               stderr);
  return CTL_USAGE;
}

static bool
parse_number (const char *text, uint64_t *number)
{
  char *end;

  if (text[0] < '0' || text[0] > '9')
    return false;
  errno = 0;
  *number = strtoull (text, &end, 10);
  return errno == 0 && *end == '\0';
}

static ctl_exit_t
run (poptContext options, const ctl_t *ctl, const char *args[], int count)
{
  const char *noun = count > 0 ? args[0] : "";
  bool writes
      = count > 1
        && (strcmp (args[1], "put") == 0 || strcmp (args[1], "delete") == 0);

  if (ctl->has_wait && strcmp (noun, "status") != 0)
    {
      warnx ("--wait-for-version goes with status only");
      return usage (options);
    }
  if (ctl->has_expect && !writes)
    {
      warnx ("--expect goes with put and delete only");
      return usage (options);
    }
  if (strcmp (noun, "group") == 0)
    args[0] = noun = "groups";
  if (strcmp (noun, "profiles") == 0 || strcmp (noun, "services") == 0
      || strcmp (noun, "groups") == 0)
    return run_collection (options, ctl, args, count);
  if (strcmp (noun, "status") == 0 && count == 1)
    return show_status (ctl);
  if (strcmp (noun, "data-centre") == 0 && count == 3
      && (strcmp (args[2], "out") == 0 || strcmp (args[2], "in") == 0))
    return mark (ctl, "data-centres", args[1], args[2]);
  if (strcmp (noun, "instance") == 0 && count == 3
      && (strcmp (args[2], "out") == 0 || strcmp (args[2], "in") == 0
          || strcmp (args[2], "forget") == 0))
    return mark (ctl, "instances", args[1], args[2]);
  if (strcmp (noun, "explain") == 0 && count >= 3)
    return explain_request (ctl, args[1], &args[2], count - 2);
  if (strcmp (noun, "summary") == 0 && count >= 2)
    return summarize_logs (ctl, &args[1], count - 1);
  warnx ("no such command, or a wrong number of arguments");
  return usage (options);
}

static ctl_exit_t
run_collection (poptContext options, const ctl_t *ctl, const char *args[],
                int count)
{
  const char *verb = count > 1 ? args[1] : "";

  if (strcmp (verb, "list") == 0 && count == 2)
    return list_objects (ctl, args[0]);
  if (strcmp (verb, "get") == 0 && count == 3)
    return get_object (ctl, args[0], args[2]);
  if (strcmp (verb, "check") == 0 && count == 3)
    return check_object (ctl, args[0], args[2]);
  if (strcmp (verb, "put") == 0 && count == 4)
    return put_object (ctl, args[0], args[2], args[3]);
  if (strcmp (verb, "delete") == 0 && count == 3)
    return delete_object (ctl, args[0], args[2]);
  warnx ("no such command, or a wrong number of arguments");
  return usage (options);
}
