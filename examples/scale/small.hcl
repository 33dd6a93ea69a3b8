# A hundred workers for half a minute, which covers every part of a scale run. CI runs this plan.

seed        = 1
controllers = 3
zones       = ["north-a", "north-b"]

machine "small" {
  cpus           = 4
  memory_gb      = 16
  fetch_gb_per_s = 1
  boot_s         = 2
  per_zone       = 40
  up_at_start    = 30
}

machine "large" {
  cpus           = 16
  memory_gb      = 64
  fetch_gb_per_s = 1
  boot_s         = 2
  per_zone       = 20
  up_at_start    = 20
}

teams {
  count            = 12
  guaranteed_cpus  = 500
  limit_factor     = 3
  least_limit_cpus = 60
}

workers {
  report_s    = 2
  lease_s     = 8
  gang_wait_s = 20
  gang_peer_s = 2
  cancel_s    = 20
}

state {
  requests_per_s = 200
  changes_per_s  = 80
  value_kb       = 16
  txn_changes    = 16
}

cloud_requests_per_s = 5

quota {
  core_share  = 1
  memory_mb   = 200
  connections = 1000
}

tunables = <<EOT
idle_s = 120

config {
  enabled = true
}
EOT

settle_s = 3

phase "load" {
  seconds      = 30
  starts_per_s = 40
}

drain_s = 20

job "ingest" {
  shape     = "array"
  urgency   = "normal"
  share     = 0.85
  tasks     = [10, 20, 40]
  cpus      = 1
  memory_gb = 2
  run_s     = [2, 6]
  image_gb  = 0.2
  images    = 5
  cancelled = 0.05

  done_within_s = 20
}

job "alert" {
  shape     = "array"
  urgency   = "critical"
  share     = 0.05
  tasks     = [1, 2, 4]
  cpus      = 1
  memory_gb = 2
  run_s     = [1, 3]
  image_gb  = 0.1
  images    = 2

  done_within_s = 8
}

job "solver" {
  shape     = "gang"
  urgency   = "normal"
  share     = 0.1
  tasks     = [2, 4, 8]
  cpus      = 2
  memory_gb = 4
  run_s     = [3, 6]
  one_zone  = true
  image_gb  = 0.3
  images    = 2

  done_within_s = 30
}

fault "a leader ends" {
  kind   = "kill_leader"
  at_s   = 15
  back_s = 3
}

change "one a second" {
  from_s  = 2
  to_s    = 28
  every_s = 1
  burst   = 1
}
