//! Texts for the reasons of a state: the name on the wire, a sentence with the figures, and what would change it.
//!
//! The three functions match every reason without a wildcard: after a reason is added, the crate does not compile
//! until the reason has all three texts.

use olivelatch::protocol::operators::{InstanceOfferView, MachineTypeCapacity, StateReason};

use super::plural;

/// Returns the reason's name on the wire.
pub fn reason_name(reason: &StateReason) -> &'static str {
    match reason {
        StateReason::Terminal { .. } => "ended",
        StateReason::PersistingResult => "recording",
        StateReason::Running { .. } => "running",
        StateReason::Starting { .. } => "starting",
        StateReason::ImageFetch { .. } => "image_fetch",
        StateReason::WaitingForPeers { .. } => "gathering",
        StateReason::RetryWait { .. } => "retry_wait",
        StateReason::WaitingForUpstream { .. } => "upstream",
        StateReason::ActiveRunLimit { .. } => "run_waits",
        StateReason::PoolFull { .. } => "pool_full",
        StateReason::TeamLimit { .. } => "team_limit",
        StateReason::QueuedBehind { .. } => "behind",
        StateReason::NoEligibleMachine { .. } => "no_machine",
        StateReason::InsufficientCapacity { .. } => "no_room",
        StateReason::HeldForGang { .. } => "held_for_gang",
        StateReason::GangInsufficientCapacity { .. } => "gang_lacks",
        StateReason::Provisioning { .. } => "booking",
        StateReason::CloudRejected { .. } => "cloud_refused",
        StateReason::Schedulable { .. } => "due",
        StateReason::KvUnreachable { .. } => "state_unreachable",
        StateReason::NoLeader { .. } => "no_leader",
    }
}

/// Returns what would change the state that the reason explains.
pub(super) fn reason_remedy(reason: &StateReason) -> &'static str {
    match reason {
        StateReason::Terminal { .. } => "nothing; the state is final",
        StateReason::PersistingResult | StateReason::Starting { .. } | StateReason::Schedulable { .. } => {
            "a short wait"
        }
        StateReason::Running { .. } => "the completion of these tasks",
        StateReason::ImageFetch { .. } => "the completion of the image fetch",
        StateReason::WaitingForPeers { .. } => "the readiness of the other tasks of the gang",
        StateReason::RetryWait { .. } => {
            "the end of the backoff; if the tasks fail on every machine, a fix to the job (see olivelatchctl logs)"
        }
        StateReason::WaitingForUpstream { .. } => {
            "the completion of these nodes (see olivelatchctl graph show)"
        }
        StateReason::ActiveRunLimit { .. } => "the completion of one of the active runs",
        StateReason::PoolFull { .. } => "the completion of other tasks in the pool, or more slots",
        StateReason::TeamLimit { .. } => "the completion of these jobs, or a higher limit for the team",
        StateReason::QueuedBehind { .. } => "the completion of these jobs, or a higher urgency",
        StateReason::NoEligibleMachine { .. } => {
            "a suitable new machine from the cloud, or looser constraints of the job"
        }
        StateReason::InsufficientCapacity { .. } | StateReason::GangInsufficientCapacity { .. } => {
            "the completion of other tasks, or more machines"
        }
        StateReason::HeldForGang { .. } => "the start of these gangs",
        StateReason::Provisioning { .. } => "the start of these machines",
        StateReason::CloudRejected { .. } => "free capacity in the cloud",
        StateReason::KvUnreachable { .. } => {
            "recovery of its connection to the key-value store; another controller may reach it"
        }
        StateReason::NoLeader { .. } => "a failover to a new leader, which takes some seconds",
    }
}

/// Renders the reason in a sentence, with its figures.
pub(super) fn reason_detail(reason: &StateReason) -> String {
    match reason {
        StateReason::Terminal { state } => format!("finished: {}", state.as_str()),
        StateReason::PersistingResult => "all tasks are done; the final state is being stored".into(),
        StateReason::Running { tasks } => format!("{} running or writing a checkpoint", task_count(*tasks)),
        StateReason::Starting { tasks } => {
            format!("{} bound to a machine; the start is being stored or sent", task_count(*tasks))
        }
        StateReason::ImageFetch { tasks, image, image_gb, longest_fetch_s } => {
            let tasks = task_count(*tasks);
            format!(
                "{tasks} waiting for image {image} ({image_gb} GB), for up to {longest_fetch_s:.1} s so far"
            )
        }
        StateReason::WaitingForPeers { tasks } => {
            format!("{} of the gang waiting for the other tasks", task_count(*tasks))
        }
        StateReason::RetryWait { tasks, retry_in_s, failed_on } => {
            let tasks = task_count(*tasks);
            let failed_on = prefixed_list("; failed on ", failed_on);
            format!("{tasks} failed or rejected by a worker; next retry in {retry_in_s:.1} s{failed_on}")
        }
        StateReason::WaitingForUpstream { run, trigger_rule, unfinished, first_unfinished } => {
            let count = plural(u64::from(*unfinished), "upstream node is", "upstream nodes are");
            let first = or_none(first_unfinished.join(", "));
            format!("a node of {run} with trigger rule {trigger_rule}; {count} unfinished: {first}")
        }
        StateReason::ActiveRunLimit { run, max_active_runs, earlier_runs } => {
            let earlier = or_none(earlier_runs.join(", "));
            format!(
                "{run} waits, as at most {max_active_runs} runs of its graph may be active; active now: {earlier}"
            )
        }
        StateReason::PoolFull { pool, used, slots } => {
            format!("{used} of {slots} slots of pool {pool} are in use")
        }
        StateReason::TeamLimit { team, used_cpus, limit_cpus, used_gpus, limit_gpus, used_by } => {
            let limit = limit_cpus.map_or("no limit".into(), |limit| limit.to_string());
            let gpus = limit_gpus.map_or(String::new(), |limit| format!(" and {used_gpus} of {limit} GPUs"));
            let users = join(used_by, ", ", |usage| format!("{} ({} CPUs)", usage.job, usage.cpus));
            format!("team {team} uses {used_cpus} of {limit} CPUs{gpus}: {users}")
        }
        StateReason::QueuedBehind { jobs, tasks, cpu_seconds, first_jobs } => {
            let jobs = plural(u64::from(*jobs), "job", "jobs");
            let first = first_jobs.join(", ");
            format!("placed after {jobs} with {tasks} tasks ({cpu_seconds:.0} CPU seconds): {first}")
        }
        StateReason::NoEligibleMachine {
            requested_cpus,
            requested_memory_gb,
            machines,
            wrong_machine_type,
            wrong_zone,
            spot_not_allowed,
            too_small,
            ..
        } => {
            let need = format!("a task needs {requested_cpus} CPUs, {requested_memory_gb} GB");
            let by_type_and_zone =
                format!("{wrong_machine_type} are of another type, {wrong_zone} are in another zone");
            let by_spot_and_size = format!("{spot_not_allowed} are spot machines, {too_small} are too small");
            let causes = format!("of {machines} machines up, {by_type_and_zone}, {by_spot_and_size}");
            format!("no machine that the job may use is up ({need}); {causes}")
        }
        StateReason::InsufficientCapacity { requested_cpus, requested_memory_gb, machine_types, .. } => {
            let capacity = join(machine_types, "; ", machine_type_capacity_text);
            format!("a task needs {requested_cpus} CPUs, {requested_memory_gb} GB; {capacity}")
        }
        StateReason::HeldForGang { machines, gangs } => {
            let machines = plural(
                u64::from(*machines),
                "machine with free capacity is",
                "machines with free capacity are",
            );
            format!("{machines} reserved for {}", gangs.join(", "))
        }
        StateReason::GangInsufficientCapacity { required, schedulable, zone } => {
            let zone = zone.as_ref().map_or(String::new(), |zone| format!(" in zone {zone}"));
            format!(
                "the gang needs capacity for {required} tasks at once, but there is capacity for {schedulable}{zone}"
            )
        }
        StateReason::Provisioning { offers, booting } => {
            let booting = machine_count(*booting);
            format!("{booting} booting; requested from the cloud: {}", or_none(offers_text(offers)))
        }
        StateReason::CloudRejected { offers } => {
            format!("the cloud had no capacity for {}", offers_text(offers))
        }
        StateReason::Schedulable { machines } => format!("{} can start it now", machine_count(*machines)),
        StateReason::KvUnreachable { since_s } => {
            format!("this controller has not reached the key-value store for {since_s:.1} s")
        }
        StateReason::NoLeader { unreachable_leader } => match unreachable_leader {
            Some(controller) => format!("{controller} is recorded as the leader, but does not respond"),
            None => "there is no leader".into(),
        },
    }
}

fn task_count(count: u32) -> String {
    plural(u64::from(count), "task", "tasks")
}

fn machine_count(count: u32) -> String {
    plural(u64::from(count), "machine", "machines")
}

fn or_none(text: String) -> String {
    if text.is_empty() { "none".into() } else { text }
}

/// Joins the items after a prefix; returns an empty text, without the prefix, if there are none.
fn prefixed_list(prefix: &str, items: &[String]) -> String {
    if items.is_empty() { String::new() } else { format!("{prefix}{}", items.join(", ")) }
}

fn join<T>(items: &[T], separator: &str, text: impl Fn(&T) -> String) -> String {
    items.iter().map(text).collect::<Vec<_>>().join(separator)
}

/// Renders how many machines of a type cannot take a task, by cause, and the largest free capacity of one of them.
fn machine_type_capacity_text(capacity: &MachineTypeCapacity) -> String {
    let causes = [
        (capacity.without_capacity, "without capacity"),
        (capacity.cordoned, "cordoned"),
        (capacity.unschedulable, "unschedulable"),
        (capacity.excluded_after_failure, "excluded because the job failed there"),
        (capacity.excluded_by_zone, "excluded by the job's zone rules"),
    ];
    let causes: Vec<String> = causes
        .into_iter()
        .filter(|(machines, _)| *machines > 0)
        .map(|(machines, cause)| format!("{machines} {cause}"))
        .collect();
    let MachineTypeCapacity { machine_type, max_free_cpus, max_free_memory_gb, .. } = capacity;
    let machines = machine_count(capacity.machines);
    let causes = causes.join(", ");
    let free = format!("{max_free_cpus} CPUs, {max_free_memory_gb} GB");
    format!("{machines} of type {machine_type}: {causes}; largest free capacity of one machine: {free}")
}

fn offers_text(offers: &[InstanceOfferView]) -> String {
    join(offers, "; ", |offer| {
        let count = if offer.count > 0 { format!("{} ", offer.count) } else { String::new() };
        let spot = if offer.spot { " (spot)" } else { "" };
        let backoff = offer
            .backoff_s
            .map_or(String::new(), |backoff_s| format!(", requested again in {backoff_s:.0} s"));
        format!("{count}{} in {}{spot}{backoff}", offer.machine_type, offer.zone)
    })
}
