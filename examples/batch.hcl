# olivelatchctl up                       (in another terminal, or in the background)
# olivelatchctl submit examples/batch.hcl --wait
#
# Every field has a default. `olivelatchctl check FILE` reports the errors in a file without sending anything.

job "readings" {
  class   = "ingest"
  tasks   = 40    # numbered from 0; each task finds its number in OLIVELATCH_TASK
  cpus    = 0.5   # CPUs of one task; memory_gb is also per task
  guess_s = 0.5   # your estimate of one task's run time
  command = ["sh", "-c", "sleep 0.3; echo reading $OLIVELATCH_TASK of $OLIVELATCH_TASKS"]
}

job "balances" {
  shape   = "gang" # all tasks run at the same time, or none of them runs
  urgency = "high"
  tasks   = 3
  command = ["sh", "-c", "sleep 1; echo balanced by $SOURCE"]
  env     = { SOURCE = "meters" }
}
