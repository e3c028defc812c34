#ifndef PERIDOT_CONTROL_H
#define PERIDOT_CONTROL_H

/* Listener for operators: connects the admin handlers to the store and the
   engine.  */

#include "conf.h"
#include "engine.h"

typedef struct control control_t;

/**
 * control_start() - listen for operators
 * Return: 0 or a negative error number; the cause is logged.
 */
int control_start (control_t **control, const conf_settings_t *settings,
                   engine_t *engine);
void control_stop (control_t *control);

#endif
