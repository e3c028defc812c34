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

#endif
