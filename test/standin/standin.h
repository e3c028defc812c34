#ifndef PERIDOT_STANDIN_H
#define PERIDOT_STANDIN_H

/* What the test doubles share: HTTP server, connections, answer bodies.  */

#include <civetweb.h>
#include <json-c/json.h>
#include <popt.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest identity of an answer body; longer ones are cut.  */
#define STANDIN_IDENTITY_MAX 128
/* Shortest body that standin_generate_body() can make.  */
#define STANDIN_BODY_MIN_BYTES (STANDIN_IDENTITY_MAX + 64)

/* Seeded generator.  */
typedef struct standin_random
{
  uint64_t state;
} standin_random_t;

/* Uniform between 0 and 1, without either end.  */
double standin_random_uniform (standin_random_t *random);

/* Microseconds on CLOCK_BOOTTIME.  */
int64_t standin_now_us (void);

/* Parses all options into their variables; exits with usage on an error.  */
void standin_parse_options (int argc, const char **argv,
                            const struct poptOption *options);

/* Blocks the stop signals; called before any thread starts.  */
void standin_block_signals (void);

/* Waits for SIGTERM or SIGINT.  */
void standin_wait_for_stop (void);

/* Waits for @timeout_ms at most; returns whether the process is to stop.  */
bool standin_wait_stop_for (int timeout_ms);

/**
 * standin_start_server() - listen on loopback; exits on failure
 * @ports: port numbers separated by commas; 0 takes a free one
 * @threads: worker threads, one for each open connection
 */
struct mg_context *standin_start_server (const char *ports, int threads);

/* Begins to answer; called when what the handler uses is ready.  */
void standin_set_handler (struct mg_context *server,
                          mg_request_handler handler, void *context);

/**
 * standin_get_port() - port number of a listener
 * @index: position in the list given to standin_start_server()
 */
int standin_get_port (struct mg_context *server, int index);

/* Resets all connections and stops the server.  */
void standin_stop_server (struct mg_context *server);

/* Prints "ready PORT".  */
void standin_print_ready (int port);

/**
 * standin_wait_while_connected() - wait while the caller stays connected
 * Return: false when the caller has closed the connection.
 */
bool standin_wait_while_connected (const struct mg_connection *conn,
                                   int64_t wait_us);

/* Resets the connection; the handler then returns without an answer.  */
void standin_reset_connection (struct mg_connection *conn);

/* Lets the handler's writes fail; called by other threads while it runs.  */
void standin_interrupt (const struct mg_connection *conn);

/* Resets all connections to a port of this process.  */
void standin_reset_port (int port);

/**
 * standin_read_body() - read a request body
 * @length: receives its length
 *
 * Return: the body with a NUL after it, freed by the caller; NULL when it is
 *   longer than @max or incomplete.
 */
char *standin_read_body (struct mg_connection *conn, size_t max,
                         size_t *length);

/* Add a member to a JSON object.  */
void standin_json_add_int (json_object *value, const char *name,
                           int64_t number);
void standin_json_add_string (json_object *value, const char *name,
                              const char *text);
void standin_json_add_bool (json_object *value, const char *name, bool flag);

/* Reads a request body that must be a JSON object; NULL when it is not.  */
json_object *standin_read_json (struct mg_connection *conn);

/* Sends @value as JSON and releases it; returns the status.  */
int standin_send_json (struct mg_connection *conn, int status,
                       json_object *value);

/* Number in the query string, or @otherwise.  */
long long standin_get_query_number (const struct mg_connection *conn,
                                    const char *name, long long otherwise);

/**
 * standin_generate_body() - body that depends on its identity and length only
 * @body: buffer of @length bytes, at least STANDIN_BODY_MIN_BYTES
 *
 * The body is one JSON object.
 */
void standin_generate_body (char *body, size_t length, const char *identity);

#endif
