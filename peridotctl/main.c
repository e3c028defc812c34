#include "ctl.h"
#include "logs.h"

#include <curl/curl.h>
#include <err.h>
#include <errno.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_URL "http://127.0.0.1:8081"
#define ARGS_MAX 64 /* including the names of log files */

static ctl_exit_t print_usage (poptContext options);
static bool parse_number (const char *text, uint64_t *number);
static ctl_exit_t run_command (poptContext options, const ctl_options_t *opts,
                               const char *args[], int count);
static ctl_exit_t run_collection_command (poptContext options,
                                          const ctl_options_t *opts,
                                          const char *args[], int count);

int
main (int argc, char **argv)
{
  const char *const default_urls[] = { DEFAULT_URL, NULL };
  const char *args[ARGS_MAX + 1] = { NULL };
  const char **urls = NULL;
  char *expect = NULL;
  char *wait = NULL;
  ctl_options_t opts = { .timeout_s = 10 };
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
          { "timeout", 't', POPT_ARG_INT, &opts.timeout_s, 0,
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
      status = print_usage (options);
      goto out;
    }
  if (version)
    {
      puts ("peridotctl " PERIDOT_VERSION);
      goto out;
    }
  while (count <= ARGS_MAX && (args[count] = poptGetArg (options)) != NULL)
    count++;
  opts.urls = urls != NULL ? urls : default_urls;
  opts.json = json != 0;
  opts.has_expected_version = expect != NULL;
  opts.has_wait_revision = wait != NULL;
  if ((expect != NULL && !parse_number (expect, &opts.expected_version))
      || (wait != NULL && !parse_number (wait, &opts.wait_revision))
      || opts.timeout_s < 0)
    {
      warnx ("--expect, --wait-for-version and --timeout take whole numbers "
             "from 0");
      status = print_usage (options);
      goto out;
    }
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    errx (CTL_UNREACHABLE, "cannot initialize libcurl");
  status = run_command (options, &opts, args, count);
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
print_usage (poptContext options)
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
               "          summary LOG-FILE...\n"
               "          suspects LOG-FILE...\n"
               "          rollouts LOG-FILE...\n"
               "          tenants LOG-FILE...\n"
               "          versions LOG-FILE...\n"
               "          readers LOG-FILE...\n",
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
run_command (poptContext options, const ctl_options_t *opts,
             const char *args[], int count)
{
  const char *noun = count > 0 ? args[0] : "";
  bool is_write
      = count > 1
        && (strcmp (args[1], "put") == 0 || strcmp (args[1], "delete") == 0);

  if (opts->has_wait_revision && strcmp (noun, "status") != 0)
    {
      warnx ("--wait-for-version goes with status only");
      return print_usage (options);
    }
  if (opts->has_expected_version && !is_write)
    {
      warnx ("--expect goes with put and delete only");
      return print_usage (options);
    }
  if (strcmp (noun, "group") == 0)
    args[0] = noun = "groups";
  if (strcmp (noun, "profiles") == 0 || strcmp (noun, "services") == 0
      || strcmp (noun, "groups") == 0)
    return run_collection_command (options, opts, args, count);
  if (strcmp (noun, "status") == 0 && count == 1)
    return ctl_show_status (opts);
  if (strcmp (noun, "data-centre") == 0 && count == 3
      && (strcmp (args[2], "out") == 0 || strcmp (args[2], "in") == 0))
    return ctl_put_action (opts, "data-centres", args[1], args[2]);
  if (strcmp (noun, "instance") == 0 && count == 3
      && (strcmp (args[2], "out") == 0 || strcmp (args[2], "in") == 0
          || strcmp (args[2], "forget") == 0))
    return ctl_put_action (opts, "instances", args[1], args[2]);
  if (strcmp (noun, "explain") == 0 && count >= 3)
    return logs_explain_request (opts, args[1], &args[2], count - 2);
  if (strcmp (noun, "summary") == 0 && count >= 2)
    return logs_summarize (opts, &args[1], count - 1);
  if (strcmp (noun, "suspects") == 0 && count >= 2)
    return logs_list_suspects (opts, &args[1], count - 1);
  if (strcmp (noun, "rollouts") == 0 && count >= 2)
    return logs_list_rollouts (opts, &args[1], count - 1);
  if (strcmp (noun, "tenants") == 0 && count >= 2)
    return logs_list_tenants (opts, &args[1], count - 1);
  if (strcmp (noun, "versions") == 0 && count >= 2)
    return logs_list_versions (opts, &args[1], count - 1);
  if (strcmp (noun, "readers") == 0 && count >= 2)
    return logs_list_readers (opts, &args[1], count - 1);
  warnx ("no such command, or a wrong number of arguments");
  return print_usage (options);
}

static ctl_exit_t
run_collection_command (poptContext options, const ctl_options_t *opts,
                        const char *args[], int count)
{
  const char *verb = count > 1 ? args[1] : "";

  if (strcmp (verb, "list") == 0 && count == 2)
    return ctl_list_objects (opts, args[0]);
  if (strcmp (verb, "get") == 0 && count == 3)
    return ctl_get_object (opts, args[0], args[2]);
  if (strcmp (verb, "check") == 0 && count == 3)
    return ctl_check_object (opts, args[0], args[2]);
  if (strcmp (verb, "put") == 0 && count == 4)
    return ctl_put_object (opts, args[0], args[2], args[3]);
  if (strcmp (verb, "delete") == 0 && count == 3)
    return ctl_delete_object (opts, args[0], args[2]);
  warnx ("no such command, or a wrong number of arguments");
  return print_usage (options);
}
