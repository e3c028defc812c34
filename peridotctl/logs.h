#ifndef PERIDOT_CTL_LOGS_H
#define PERIDOT_CTL_LOGS_H

/* Commands that read the log files of instances.  */

#include "ctl.h"

/**
 * logs_explain_request() - print the log entries of one request by time
 * @opts: options of the command line
 * @id: id of the request
 * @files: log files of instances; "-" is standard input
 * @count: number of @files
 *
 * Return: CTL_OK, or CTL_REFUSED when a file cannot be read or no entry has
 * this id.
 */
ctl_exit_t logs_explain_request (const ctl_options_t *opts, const char *id,
                                 const char *const files[], int count);

/* Prints the numbers of refused, failed and late requests and of failed
   attempts by reason, instance and second.  Return: CTL_OK, or CTL_REFUSED
   when a file cannot be read.  */
ctl_exit_t logs_summarize (const ctl_options_t *opts,
                           const char *const files[], int count);

/* Prints the requests under which endpoints have ended, by digest: the number
   of endpoints, as last logged, the number of refusals, and the last event
   with the request and the endpoint that it names.  Return: as
   logs_summarize().  */
ctl_exit_t logs_list_suspects (const ctl_options_t *opts,
                               const char *const files[], int count);

/* Prints the last step of each service's rollout: version, phase, share of the
   requests, time and reason, and the answers of both versions as last logged.
   Return: as logs_summarize().  */
ctl_exit_t logs_list_rollouts (const ctl_options_t *opts,
                               const char *const files[], int count);

/* Prints the tenants whose requests were refused because their allowance was
   used up: the number of refusals that were logged, the time of the first and
   the last, and the last request.  Return: as logs_summarize().  */
ctl_exit_t logs_list_tenants (const ctl_options_t *opts,
                              const char *const files[], int count);

/* Prints the version of the configuration that is in force at each instance,
   since when, the number of its rows that cannot be used and, for an instance
   that has read a later version that could not be used at all, why.  Return:
   as logs_summarize().  */
ctl_exit_t logs_list_versions (const ctl_options_t *opts,
                               const char *const files[], int count);

/* Prints which instances have read the store on behalf of all: since when and
   why, until when and which one came next, and the kind of objects that one
   cannot read.  Return: as logs_summarize().  */
ctl_exit_t logs_list_readers (const ctl_options_t *opts,
                              const char *const files[], int count);

#endif
