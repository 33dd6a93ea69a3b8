# Graphs, with the operators' interface through which they are queried (docs/flows.md). To be turned on at all
# controllers, and only when all of them have a version that knows graphs.

operators {
  enabled = true
}

graphs {
  enabled   = true
  kept_runs = 50 # ended runs that can be shown and rerun

  # Slots: tasks at a time of nodes that name the pool.
  pools = {
    billing = 8
  }
}
