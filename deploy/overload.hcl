# What changes while there is more than can be served (docs/overload.md). All are on without this file; here is how to turn
# one off, should a fleet do worse with it:
#     target/release/olivelatch serve --tunables deploy/overload.hcl --config settings.json

overload {
  order    = true # past-SLO jobs put off, minimum shares, small gangs first, machines of scarce types reserved for gangs
  pressure = true # load shedding: a controller behind its events plans less often and sends no direct starts
  headroom = true # best-effort work leaves capacity for what others asked for lately
  claims   = true # arrays preempt long tasks of lower priority, or what others have borrowed
  trials   = true # probation: jobs that fail wherever they are tried run one task at a time
}
