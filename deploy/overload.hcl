# What changes while there is more than can be served (docs/overload.md). All are on without this file; here is how to turn
# one off, should a fleet do worse with it:
#     target/release/olivelatch serve --tunables deploy/overload.hcl --config settings.json

overload {
  order    = true # late jobs put off, floors, small gangs first, machines of scarce types kept for gangs
  pressure = true # a controller behind its events leaves planning and direct starts
  headroom = true # work that nobody waits for leaves room for what others asked for lately
  claims   = true # arrays stop long tasks that are less urgent, or what others have borrowed
  trials   = true # jobs that fail wherever they are tried go on one task at a time
}
