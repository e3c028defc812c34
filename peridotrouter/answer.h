#ifndef PERIDOT_ANSWER_H
#define PERIDOT_ANSWER_H

/* Writes an answer to a caller, as it arrives from a backend server.  */

#include <civetweb.h>

#include "backend.h"
#include "caller.h"
#include "decide.h"

typedef struct answer
{
  caller_t caller;
  clock_ms_t write_by;    /* deadline of the attempt that writes */
  const char *request_id; /* echoed, or NULL */
  const char *addresses;  /* JSON list for a problem document, or NULL */
  bool closing;           /* the connection ends after this answer */
  bool is_head;           /* HEAD: no body is written */
  bool head_sent;
  bool chunked;
  bool failed; /* the caller's connection does not take data */
  uint32_t status;
  int64_t length; /* -1 when not known */
  int64_t sent;
  char etag[128]; /* strong entity tag, or empty */
  bool keep;      /* collect the body for a keyed request */
  bool too_large;
  decide_response_t kept;
} answer_t;

/**
 * answer_start() - write the head of an answer
 * Return: 0, or -EPIPE when the caller has gone.
 */
int answer_start (answer_t *answer, const backend_response_head_t *head);

/**
 * answer_resume() - check the head of the rest of a broken answer
 * Return: 0, or -EPROTO when it does not continue the answer.
 */
int answer_resume (const answer_t *answer,
                   const backend_response_head_t *head);
bool answer_can_resume (const answer_t *answer);

/**
 * answer_write() - write a part of the body
 *
 * A caller that takes it too slowly for the attempt's deadline is given up
 * like one that has gone: a resumed answer would hold a second slot.
 *
 * Return: 0 or -EPIPE.
 */
int answer_write (answer_t *answer, const void *data, size_t length);

/* Return: whether the whole answer has been written.  */
bool answer_finish (answer_t *answer);

/* Writes a recorded answer.  */
void answer_replay (answer_t *answer, const decide_response_t *recorded);

/**
 * answer_problem() - write a problem document (RFC 9457)
 * @ran: "no" or "unknown"
 * @retry_after_ms: 0 leaves the time out
 */
void answer_problem (answer_t *answer, uint32_t status, const char *type,
                     const char *detail, const char *ran,
                     clock_ms_t retry_after_ms);

/* Writes a refusal of the decision library.  */
void answer_refuse (answer_t *answer, const decide_refusal_t *refusal);

#endif
