# Allows changes of team limits and guarantees while the service runs (`olivelatchctl config`, docs/client.md). Enable it
# on all controllers: while a controller without it leads, no change is in force.

operators {
  enabled = true
}

config {
  enabled = true
}
