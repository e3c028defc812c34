#ifndef PERIDOT_SERVE_H
#define PERIDOT_SERVE_H

/* HTTP listener for clients: the list of instances (/addresses) and requests
   to services (/s/SERVICE/PATH).  */

#include "attempt.h"
#include "conf.h"
#include "engine.h"

typedef struct serve serve_t;

/**
 * serve_start() - listen for clients
 * @settings: copied
 * Return: 0 or a negative error number; the cause is logged.
 */
int serve_start (serve_t **serve, const conf_settings_t *settings,
                 engine_t *engine, attempts_t *attempts);

/* Closes open connections, waits for the worker threads and frees @serve,
   which may be NULL.  */
void serve_stop (serve_t *serve);

/* Returns the number of requests that are being served.  */
uint32_t serve_count_active (const serve_t *serve);

#endif
