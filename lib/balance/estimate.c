#include "estimate.h"

/* Step by which a new sample moves a running median, as a share of the
   median.  */
#define MEDIAN_STEP 0.03
/* For the first samples of a route, the step is this value divided by the
   number of samples, as long as that is more than MEDIAN_STEP.  */
#define MEDIAN_FIRST_STEP 0.5
/* Factor by which the expected response time is longer at a cold endpoint;
   cold endpoints are about twice as slow as warm ones.  */
#define COLD_FACTOR 2.0
/* Upper limit of the estimated slowdown of an endpoint that is nearly
   full.  */
#define FULL_LOAD_SLOWDOWN_MAX 3.0
/* Share of the slots above which an endpoint counts as nearly full.  */
#define NEARLY_FULL_SHARE 0.8
/* Service time that is assumed for a route without samples, as a share of its
   target.  */
#define UNKNOWN_ROUTE_TARGET_SHARE 0.4
/* Value of @slowdown_percent of an endpoint without slowdown.  */
#define SLOWDOWN_NONE_PERCENT 100U

static bool is_nearly_full (const backend_load_t *load);
static double step_median (double median, double sample, double step);

/* Whether the endpoint would be nearly full with one more request.  */
static bool
is_nearly_full (const backend_load_t *load)
{
  return load->slots > 0
         && load->running + load->waiting + 1
                > NEARLY_FULL_SHARE * load->slots;
}

void
estimate_update (service_t *service, service_time_t *service_time,
                 const backend_load_t *load, clock_ms_t duration)
{
  double ms = (double)duration * SLOWDOWN_NONE_PERCENT
              / MAX (load->slowdown_percent, SLOWDOWN_NONE_PERCENT);

  if (load->waiting > 0 || load->running >= load->slots)
    return;
  if (is_nearly_full (load))
    {
      if (service_time->ms > 0)
        service->full_load_slowdown
            = CLAMP (step_median (service->full_load_slowdown,
                                  ms / service_time->ms, MEDIAN_STEP),
                     1.0, FULL_LOAD_SLOWDOWN_MAX);
      return;
    }
  if (service_time->ms <= 0)
    service_time->ms = ms;
  else
    service_time->ms = step_median (
        service_time->ms, ms,
        MAX (MEDIAN_STEP, MEDIAN_FIRST_STEP / (service_time->samples + 1)));
  service_time->samples++;
}

/* Moves a running median towards a sample (stochastic approximation).  The
   step does not depend on the distance of the sample, so that samples of slow
   endpoints do not distort the median.  */
static double
step_median (double median, double sample, double step)
{
  return sample > median ? MIN (median * (1.0 + step), sample)
                         : MAX (median * (1.0 - step), sample);
}

double
estimate_service_time (const service_time_t *service_time, clock_ms_t target)
{
  return service_time->ms > 0 ? service_time->ms
                              : (double)target * UNKNOWN_ROUTE_TARGET_SHARE;
}

double
estimate_response_time (const service_t *service, double service_time_ms,
                        const backend_load_t *load, bool cold)
{
  uint32_t busy = load->running + load->waiting;
  double ms = service_time_ms
              * MAX (load->slowdown_percent, SLOWDOWN_NONE_PERCENT)
              / SLOWDOWN_NONE_PERCENT;

  if (is_nearly_full (load))
    ms *= service->full_load_slowdown;
  if (cold)
    ms *= COLD_FACTOR;
  /* The wait in the queue is divided by the number of slots, because all slots
     take requests from the queue in parallel.  */
  if (load->slots > 0 && busy >= load->slots)
    ms *= 1.0 + (double)(busy - load->slots + 1) / load->slots;
  return ms;
}
