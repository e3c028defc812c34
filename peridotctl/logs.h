#ifndef PERIDOT_CTL_LOGS_H
#define PERIDOT_CTL_LOGS_H

/* Commands that read log files of instances.  */

#include "ctl.h"

/**
 * explain_request() - print the story of one request in time order
 * @files: log files of instances, "-" for standard input
 */
ctl_exit_t explain_request (const ctl_t *ctl, const char *id,
                            const char *const files[], int count);

/* Refused and failed requests by reason, instance and second.  */
ctl_exit_t summarize_logs (const ctl_t *ctl, const char *const files[],
                           int count);

#endif
