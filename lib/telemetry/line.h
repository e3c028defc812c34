#ifndef PERIDOT_TELEMETRY_LINE_H
#define PERIDOT_TELEMETRY_LINE_H

/* Internal to the library: formatting of JSON lines, and the ring buffer to
   the writer thread.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Appends a JSON string and replaces invalid UTF-8.  @length is in bytes; -1:
   @text ends with a NUL.  */
void line_append_string (GString *line, const char *text, gssize length);

/* Appends a member with a string, preceded by a comma unless it is the first
   member of the object.  Appends nothing when @text is NULL.  */
void line_append_field (GString *line, const char *key, const char *text);

/* Appends a member with a number.  */
void line_append_number (GString *line, const char *key, int64_t number);

/* Appends a member with a timestamp, formatted by RFC 3339 in UTC.  @us is in
   microseconds since 1970-01-01 UTC.  */
void line_append_time (GString *line, const char *key, int64_t us);

/* Closes the JSON object and passes the line to the writer thread, which
   writes it to @fd.  The line is written by the caller when the writer thread
   does not run or @synchronous is set.  Takes ownership of @line.  */
void log_submit (int fd, GString *line, bool synchronous);

/* Returns the name of the instance, "" before telemetry_start().  */
const char *log_instance_name (void);

/* Returns the fraction of traces whose spans are written, 0 to 1.  */
double log_trace_sampling_ratio (void);

#endif
