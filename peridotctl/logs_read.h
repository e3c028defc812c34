#ifndef PERIDOT_CTL_LOGS_READ_H
#define PERIDOT_CTL_LOGS_READ_H

/* Reading of log files, shared by the commands of logs.h.  */

#include <glib.h>

#include "logs.h"

typedef struct log_entry
{
  json_object *object;
  const char *time; /* time of the entry; belongs to @object */
} log_entry_t;

/* Reads the log entries of all files into @entries, sorted by time.
   Return: 0 or a negative error number.  */
int logs_read_files (const char *const files[], int count, GArray *entries);
/* Frees what a log_entry_t owns.  */
void logs_clear_entry (gpointer entry);

#endif
