# The operators' interface on: lists, explanations, events, metrics (docs/client.md).
#     target/release/olivelatch serve --tunables deploy/operators.hcl --config settings.json

operators {
  enabled        = true
  events_per_job = 32 # events kept for each job, in the leader's memory
  explains_per_s = 20 # lists, inspections and explanations computed a second
}

log {
  format = "logfmt" # text, logfmt or json
}
