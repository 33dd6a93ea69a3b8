t              = 0.25
tt_s           = 11
fetch_gb_per_s = 0.2
steal_wait_ms  = 2
steal_bound_s  = 12
hold_s         = 61
leader_life_s  = 5
idle_s         = 46
drain_s        = 41
haste          = 0.75

overload {
  order    = false
  pressure = false
  headroom = false
  claims   = false
  trials   = false
}

operators {
  enabled        = true
  events_per_job = 33
  explains_per_s = 21
}

graphs {
  enabled    = true
  pools      = { billing = 8, reading = 2 }
  kept_runs  = 51
  most_nodes = 60001
  sweep_s    = 601
}

config {
  enabled = true
}

log {
  format = "logfmt"
}
