# Enables the operators' interface: lists, explanations, events and metrics (docs/client.md).
#     target/release/olivelatch serve --tunables deploy/operators.hcl --config settings.json

operators {
  enabled        = true
  events_per_job = 32 # events per job that the leader keeps in memory
  explains_per_s = 20 # limit for lists, inspections and explanations per second
}

log {
  format = "logfmt" # text, logfmt or json
}
