#ifndef PERIDOT_STANDIN_H
#define PERIDOT_STANDIN_H

/* Code that the test doubles share: HTTP server, fault injection on
   connections, JSON, and generated response bodies.  */

#include <civetweb.h>
#include <json-c/json.h>
#include <popt.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum length of the identity in a generated response body; a longer one is
   truncated.  */
#define STANDIN_IDENTITY_MAX_BYTES 128
/* Length of the shortest body that standin_generate_body() can generate.  */
#define STANDIN_BODY_MIN_BYTES (STANDIN_IDENTITY_MAX_BYTES + 64)

/* Pseudorandom number generator.  */
typedef struct standin_random
{
  uint64_t state; /* initially the seed */
} standin_random_t;

/* Returns a number from the uniform distribution on the open interval
   (0, 1).  */
double standin_random_uniform (standin_random_t *random);

/* Returns the time of CLOCK_BOOTTIME in microseconds.  */
int64_t standin_now_us (void);

/* Parses the command line into the variables of @options.  Exits with
   status 2 on an error, and prints the usage if there is an unexpected
   argument.  */
void standin_parse_options (int argc, const char **argv,
                            const struct poptOption *options);

/* Blocks SIGTERM and SIGINT, so that standin_wait_for_stop() can wait for
   them; called before any thread starts.  */
void standin_block_signals (void);

/* Waits for SIGTERM or SIGINT.  */
void standin_wait_for_stop (void);

/* Waits for SIGTERM or SIGINT for at most @timeout_ms; returns whether one
   arrived.  */
bool standin_wait_for_stop_timed (int timeout_ms);

/**
 * standin_start_server() - start an HTTP server on loopback; exits on failure
 * @ports: port numbers separated by commas; 0 selects a free port
 * @threads: number of worker threads; each open connection occupies one
 */
struct mg_context *standin_start_server (const char *ports, int threads);

/* Installs the handler of all requests; called once everything that the
   handler uses is initialized.  */
void standin_set_handler (struct mg_context *server,
                          mg_request_handler handler, void *context);

/**
 * standin_get_port() - get the port number of a listener; exits if there is
 * none
 * @index: position in the list of ports given to standin_start_server()
 */
int standin_get_port (struct mg_context *server, int index);

/* Resets all connections and stops the server.  */
void standin_stop_server (struct mg_context *server);

/* Prints "ready PORT" to stdout.  */
void standin_print_ready (int port);

/**
 * standin_wait_while_connected() - wait while the client stays connected
 * @wait_us: time to wait; 0 or less only checks the connection
 *
 * Return: false when the client has closed the connection.
 */
bool standin_wait_while_connected (const struct mg_connection *conn,
                                   int64_t wait_us);

/* Sends a TCP reset to the client; called by the handler, which then returns
   without a response.  */
void standin_reset_connection (struct mg_connection *conn);

/* Resets the connection from another thread while its handler runs; the
   handler's writes then fail.  */
void standin_abort_connection (const struct mg_connection *conn);

/* Resets all connections that were accepted on @port.  */
void standin_reset_port_connections (int port);

/**
 * standin_read_body() - read a request body
 * @max: longest body that is accepted, in bytes
 * @length: set to the length of the body in bytes
 *
 * Return: the body with a terminating NUL, to be freed by the calling
 *   function; NULL when the body is longer than @max or incomplete, or when
 *   memory runs out.
 */
char *standin_read_body (struct mg_connection *conn, size_t max,
                         size_t *length);

/* These functions add a member to the JSON object @value.  */
void standin_json_add_int (json_object *value, const char *name,
                           int64_t number);
void standin_json_add_string (json_object *value, const char *name,
                              const char *text);
void standin_json_add_bool (json_object *value, const char *name,
                            bool boolean);

/* Reads a request body; returns NULL when it is not a JSON object.  The caller
   releases the object.  */
json_object *standin_read_json (struct mg_connection *conn);

/* Responds with @value as JSON and releases it; returns @status.  */
int standin_send_json (struct mg_connection *conn, int status,
                       json_object *value);

/* Returns the number that the query string gives for @name, or
   @default_number if it gives none.  */
long long standin_get_query_number (const struct mg_connection *conn,
                                    const char *name,
                                    long long default_number);

/**
 * standin_generate_body() - generate a response body for testing
 * @body: buffer of @length bytes
 * @length: length of the body in bytes, at least STANDIN_BODY_MIN_BYTES
 * @identity: text, such as a request id, from which the body is generated
 *
 * The body is one JSON object, without a terminating NUL.  It depends on
 * @identity and @length only, so that the receiver can verify it.
 */
void standin_generate_body (char *body, size_t length, const char *identity);

#endif
