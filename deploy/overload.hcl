# What changes while there is more than can be served (docs/overload.md). Both are on without this file; here is how to turn
# one off, should a fleet do worse with it:
#     target/release/olivelatch serve --tunables deploy/overload.hcl --config settings.json

overload {
  order    = true # late jobs put off, floors, small gangs first, machines of scarce types kept for gangs
  pressure = true # a controller behind its events leaves planning and direct starts
}
