# Enables graphs, and the operators' interface through which they are queried (docs/flows.md). Enable it on all
# controllers, and only after all of them run a version that supports graphs.

operators {
  enabled = true
}

graphs {
  enabled   = true
  kept_runs = 50 # finished runs that can be shown and run again

  # Maximum number of concurrent tasks of the nodes that name the pool.
  pools = {
    billing = 8
  }
}
