# Limits and guarantees of teams, changed while the service runs (`olivelatchctl config`, docs/client.md). All controllers must run
# with it: while one leads that does not, no change is in force.

operators {
  enabled = true
}

config {
  enabled = true
}
