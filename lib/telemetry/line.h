#ifndef PERIDOT_TELEMETRY_LINE_H
#define PERIDOT_TELEMETRY_LINE_H

/* Internal to the telemetry library: formatting of log lines and trace spans,
   each of which is a JSON object on one line, and the ring buffer through
   which they reach the thread that writes them.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Appends a text as a JSON string.  Invalid UTF-8 in it is replaced.  @length:
   length of @text in bytes; -1: @text ends with a NUL.  */
void line_append_string (GString *line, const char *text, gssize length);

/* Appends a member with a string to the JSON object, preceded by a comma
   unless it is the first member.  Appends nothing if @text is NULL.  */
void line_append_field (GString *line, const char *key, const char *text);

/* Appends a member with a number to the JSON object, preceded by a comma
   unless it is the first member.  */
void line_append_number (GString *line, const char *key, int64_t number);

/* Appends a member with a timestamp in UTC, formatted according to RFC 3339,
   to the JSON object, preceded by a comma unless it is the first member.  @us:
   microseconds since 1970-01-01 UTC.  */
void line_append_time (GString *line, const char *key, int64_t us);

/* Closes the JSON object and passes the line to the writer thread, which
   writes it to @fd.  If the writer thread does not run or @synchronous is set,
   the calling thread writes the line.  Takes ownership of @line.  */
void log_submit (int fd, GString *line, bool synchronous);

/* Returns the name of this instance, or "" before telemetry_start().  */
const char *log_instance_name (void);

/* Returns the fraction of traces whose spans are written, from 0 to 1.  */
double log_trace_sampling_ratio (void);

#endif
