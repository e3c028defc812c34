#ifndef PERIDOT_CONTROL_H
#define PERIDOT_CONTROL_H

/* Admin listener: the HTTP listener for operators.  It connects the admin
   handlers to the store and the engine.  */

#include "conf.h"
#include "engine.h"

typedef struct control control_t;

/**
 * control_start() - start the admin listener
 * Return: 0 or a negative error number; the cause is logged.
 */
int control_start (control_t **control, const conf_settings_t *settings,
                   engine_t *engine);
/* Stops the listener and frees @control; NULL is allowed.  */
void control_stop (control_t *control);

#endif
