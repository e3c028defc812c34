/* TCP proxy with fault injection, controlled over HTTP.  Each pair of the
   proxy is a listening port and the target to which it forwards connections.
 */

#include "relay.h"
#include "standin.h"

#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int handle_request (struct mg_connection *conn, void *context);

/* Configures the pair whose index is @selector, or all pairs if it is "all".
   Returns 0 or a negative errno, like relay_configure_pair().  */
static int
configure_pairs (relay_t *relay, const char *selector, json_object *value)
{
  int result = -ENOENT;
  char *end;
  long pair = strtol (selector, &end, 10);

  if (strcmp (selector, "all") == 0)
    for (int i = 0; i < relay_pair_count (relay); i++)
      {
        result = relay_configure_pair (relay, i, value);
        if (result != 0)
          break;
      }
  else if (end != selector && *end == '\0')
    result = relay_configure_pair (relay, (int)pair, value);
  return result;
}

static int
handle_request (struct mg_connection *conn, void *context)
{
  const char *uri = mg_get_request_info (conn)->local_uri;
  json_object *value;
  int result;

  if (strcmp (uri, "/control/pairs") == 0)
    return standin_send_json (conn, 200, relay_to_json (context));
  if (strncmp (uri, "/control/pair/", 14) != 0)
    return standin_send_json (conn, 404, json_object_new_object ());
  value = standin_read_json (conn);
  if (value == NULL)
    return standin_send_json (conn, 400, json_object_new_object ());
  result = configure_pairs (context, uri + 14, value);
  json_object_put (value);
  if (result != 0)
    return standin_send_json (conn, result == -ENOENT ? 404 : 400,
                              json_object_new_object ());
  return standin_send_json (conn, 200, json_object_new_object ());
}

/* Adds the pairs in @text, PORT=IP:PORT,..., and prints their ports.  */
static void
add_pairs (relay_t *relay, char *text)
{
  for (char *next; (next = strsep (&text, ",")) != NULL;)
    {
      char *target = strchr (next, '=');
      int port;

      if (target == NULL)
        errx (2, "--pairs: %s: no target", next);
      *target++ = '\0';
      port = relay_add_pair (relay, (int)strtol (next, NULL, 10), target);
      if (port < 0)
        errx (1, "--pairs: %s=%s: %s", next, target, strerror (-port));
      printf ("pair %d %d\n", relay_pair_count (relay) - 1, port);
    }
}

int
main (int argc, const char **argv)
{
  char *pairs = NULL;
  int control_port = 0;
  struct poptOption options[]
      = { { "pairs", 0, POPT_ARG_STRING, &pairs, 0,
            "listening ports, 0 for a free one, and targets",
            "PORT=IP:PORT,..." },
          { "control-port", 0, POPT_ARG_INT, &control_port, 0, NULL, "N" },
          POPT_AUTOHELP POPT_TABLEEND };
  struct mg_context *server;
  relay_t *relay;
  char ports[16];

  standin_parse_options (argc, argv, options);
  if (pairs == NULL)
    errx (2, "--pairs is required");
  standin_block_signals ();
  relay = relay_new ();
  add_pairs (relay, pairs);
  relay_start (relay);
  snprintf (ports, sizeof ports, "%d", control_port);
  server = standin_start_server (ports, 8);
  standin_set_handler (server, handle_request, relay);
  standin_print_ready (standin_get_port (server, 0));
  standin_wait_for_stop ();

  standin_stop_server (server);
  relay_free (relay);
  free (pairs);
  return 0;
}
