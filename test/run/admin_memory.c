/* Serves the admin API with objects in memory on a free loopback port, prints
   the port and exits at the end of standard input.  */

#include <err.h>
#include <stdio.h>

#include "memory.h"

int
main (void)
{
  static const char *options[]
      = { "listening_ports", "127.0.0.1:0", "num_threads", "4", NULL };
  memory_store_t *memory = memory_store_new ();
  struct mg_server_port port;
  struct mg_context *server;

  mg_init_library (0);
  server = mg_start (NULL, NULL, options);
  if (server == NULL || mg_get_server_ports (server, 1, &port) != 1)
    errx (1, "the server can't be started");
  admin_install (server, memory_store_callbacks (memory));
  printf ("%d\n", port.port);
  (void)fflush (stdout);
  while (getchar () != EOF)
    ;
  mg_stop (server);
  memory_store_free (memory);
  return 0;
}
