#ifndef PERIDOT_SERVE_H
#define PERIDOT_SERVE_H

/* Listener for callers: addresses and service requests.  */

#include "attempt.h"
#include "conf.h"
#include "engine.h"

typedef struct serve serve_t;

/**
 * serve_start() - listen for callers
 * Return: 0 or a negative error number; the cause is logged.
 */
int serve_start (serve_t **serve, const conf_settings_t *settings,
                 engine_t *engine, attempts_t *attempts);

/* Ends open connections and waits for the workers.  */
void serve_stop (serve_t *serve);

/* Requests that are being served.  */
uint32_t serve_count_active (const serve_t *serve);

#endif
