# olivelatchctl up                       (in another terminal, or in the background)
# olivelatchctl submit examples/batch.hcl --wait
#
# Every word has a default; `olivelatchctl check FILE` says what is wrong with a file before anything is sent.

job "readings" {
  class   = "ingest"
  tasks   = 40    # numbered from 0; each learns its number from OLIVELATCH_TASK
  cpus    = 0.5   # of one task, as memory_gb
  guess_s = 0.5   # your estimate of one task's run time
  command = ["sh", "-c", "sleep 0.3; echo reading $OLIVELATCH_TASK of $OLIVELATCH_TASKS"]
}

job "balances" {
  shape   = "gang" # all tasks run at the same time, or none does
  urgency = "high"
  tasks   = 3
  command = ["sh", "-c", "sleep 1; echo balanced by $SOURCE"]
  env     = { SOURCE = "meters" }
}
