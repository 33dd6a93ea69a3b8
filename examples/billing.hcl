# A nightly graph of jobs that turns raw meter readings into balances and billing files.
#
#   olivelatchctl up                                       (in another terminal, or in the background)
#   olivelatchctl graph submit examples/billing.hcl --wait
#   olivelatchctl graph show billing-2026-12-01
#
# To make a town fail, run `echo east > /tmp/trouble` and submit with `--var trouble=/tmp/trouble`.
# Then remove the file and run `olivelatchctl graph retry billing-2026-12-01 --wait`.
# The output appears in .latch/published/billing-2026-12-01, either complete or not at all.

graph = "billing"
run   = "billing-{{ day }}"

vars {
  day     = "2026-12-01"
  trouble = "/nonexistent"
  towns   = ["north", "east", "south", "west"]
}

defaults {
  class   = "billing"
  cpus    = 0.5
  guess_s = 1
}

# Writes the list of towns over which the next nodes are mapped: they run one task per town.
node "raw" {
  command = ["sh", "-c", <<-EOT
    for town in {{ towns | join(" ") }}; do
      for meter in 1 2 3 4 5; do echo "$town,$meter,$((meter * 7))"; done
    done > "$OLIVELATCH_OUT/readings.csv"
    echo '{{ towns | tojson }}' > "$OLIVELATCH_OUT/list.json"
  EOT
  ]
}

node "balance" {
  map         = "raw"
  tries       = 2
  wait_s      = 0.5
  most_wait_s = 2
  command = ["sh", "-c", <<-EOT
    if grep -qx "$OLIVELATCH_ITEM" "{{ trouble }}" 2>/dev/null; then
      echo "no balance for $OLIVELATCH_ITEM" >&2
      exit 1
    fi
    grep "^$OLIVELATCH_ITEM," "$OLIVELATCH_IN_RAW/readings.csv" |
      awk -F, '{ sum += $3 } END { print $1 "," sum }' > "$OLIVELATCH_OUT/balance.csv"
  EOT
  ]
}

# Writes its output in two steps to show that readers never see a partial file.
node "bill" {
  map   = "raw"
  after = ["balance"]
  command = ["sh", "-c", <<-EOT
    echo "town,amount" > "$OLIVELATCH_OUT/bill.csv"
    sleep 0.3
    cat "$OLIVELATCH_IN_BALANCE/$OLIVELATCH_TASK/balance.csv" >> "$OLIVELATCH_OUT/bill.csv"
  EOT
  ]
}

node "office" {
  after   = ["bill"]
  command = ["sh", "-c", <<-EOT
    cat "$OLIVELATCH_IN_BILL"/*/bill.csv | grep -v '^town' | sort > "$OLIVELATCH_OUT/all.csv"
  EOT
  ]
}

# Runs if a node before it has failed, and is skipped if none has.
node "alarm" {
  after   = ["balance", "bill"]
  rule    = "one_failed"
  command = ["sh", "-c", "echo 'billing of {{ day }} needs a look' > \"$OLIVELATCH_OUT/alarm.txt\""]
}
