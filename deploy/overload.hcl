# Behaviour under overload (docs/overload.md). Each part is enabled by default; set it to false to disable it:
#     target/release/olivelatch serve --tunables deploy/overload.hcl --config settings.json

overload {
  order    = true # delays past-SLO jobs, grants minimum shares, starts small gangs first, reserves scarce machine types for gangs
  pressure = true # load shedding: a controller that lags behind its events plans less often and sends no direct starts
  headroom = true # best-effort jobs leave capacity for the recent demand of other jobs
  claims   = true # arrays preempt long tasks of lower priority, and tasks on borrowed capacity
  trials   = true # probation: a job that fails on every machine runs one task at a time
}
