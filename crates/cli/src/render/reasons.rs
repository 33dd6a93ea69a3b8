//! The texts of one reason: its name in the interface, a sentence with its figures, and what would change it.
//!
//! The three tables list every reason, so that a new one does not compile until it has all its texts.

use olivelatch::protocol::operators::{InstanceOfferView, MachineTypeCapacity, StateReason};

use super::plural;

/// The reason's name, as the operators' interface has it.
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

/// What would move the job on.
pub(super) fn reason_remedy(reason: &StateReason) -> &'static str {
    match reason {
        StateReason::Terminal { .. } => "nothing; it stays so",
        StateReason::PersistingResult | StateReason::Starting { .. } | StateReason::Schedulable { .. } => {
            "a moment"
        }
        StateReason::Running { .. } => "their ends",
        StateReason::ImageFetch { .. } => "the fetch",
        StateReason::WaitingForPeers { .. } => "the last of them",
        StateReason::RetryWait { .. } => {
            "the wait; if it fails on every machine, the job itself (olivelatchctl logs)"
        }
        StateReason::WaitingForUpstream { .. } => "their ends (olivelatchctl graph show)",
        StateReason::ActiveRunLimit { .. } => "the end of a run before it",
        StateReason::PoolFull { .. } => "ends of other tasks in the pool, or more slots",
        StateReason::TeamLimit { .. } => "ends of these jobs, or a higher limit of the team",
        StateReason::QueuedBehind { .. } => "their ends, or a higher urgency",
        StateReason::NoEligibleMachine { .. } => "a rental, or wider constraints of the job",
        StateReason::InsufficientCapacity { .. } | StateReason::GangInsufficientCapacity { .. } => {
            "ends of other tasks, or more machines"
        }
        StateReason::HeldForGang { .. } => "the gang's start",
        StateReason::Provisioning { .. } => "their start",
        StateReason::CloudRejected { .. } => "capacity of the cloud",
        StateReason::KvUnreachable { .. } => "its return; another controller may reach it",
        StateReason::NoLeader { .. } => "a takeover, some seconds",
    }
}

/// The reason in a sentence, with its figures.
pub(super) fn reason_detail(reason: &StateReason) -> String {
    match reason {
        StateReason::Terminal { state } => format!("it is over: {}", state.as_str()),
        StateReason::PersistingResult => "all tasks are done, the end is being written".into(),
        StateReason::Running { tasks } => format!("{} running or saving", task_count(*tasks)),
        StateReason::Starting { tasks } => {
            format!("{} bound to a machine, the start is being written or on its way", task_count(*tasks))
        }
        StateReason::ImageFetch { tasks, image, image_gb, longest_fetch_s } => {
            let tasks = task_count(*tasks);
            format!("{tasks} wait for image {image} ({image_gb} GB), {longest_fetch_s:.1} s so far")
        }
        StateReason::WaitingForPeers { tasks } => {
            format!("{} of the gang wait for the others", task_count(*tasks))
        }
        StateReason::RetryWait { tasks, retry_in_s, failed_on } => {
            let tasks = task_count(*tasks);
            let failed_on = prefixed_list("; failed on ", failed_on);
            format!("{tasks} failed or refused, tried again from {retry_in_s:.1} s on{failed_on}")
        }
        StateReason::WaitingForUpstream { run, trigger_rule, unfinished, first_unfinished } => {
            let count = plural(u64::from(*unfinished), "node is", "nodes are");
            let first = or_none(first_unfinished.join(", "));
            format!("a node of {run} under the rule {trigger_rule}; {count} before it not over: {first}")
        }
        StateReason::ActiveRunLimit { run, max_active_runs, earlier_runs } => {
            let earlier = or_none(earlier_runs.join(", "));
            format!(
                "{run} waits for its turn: of its graph {max_active_runs} at a time; under way: {earlier}"
            )
        }
        StateReason::PoolFull { pool, used, slots } => {
            format!("{used} of {slots} slots of pool {pool} are taken")
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
            format!("{jobs} with {tasks} tasks ({cpu_seconds:.0} CPU seconds) come first: {first}")
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
        } => format!(
            "no machine that it may use is up (a task needs {requested_cpus} CPUs, {requested_memory_gb} GB); \
             of {machines} up, {wrong_machine_type} are of another type, {wrong_zone} in another zone, \
             {spot_not_allowed} spot, {too_small} too small"
        ),
        StateReason::InsufficientCapacity { requested_cpus, requested_memory_gb, machine_types, .. } => {
            let capacity = join(machine_types, "; ", machine_type_capacity);
            format!("a task needs {requested_cpus} CPUs, {requested_memory_gb} GB; {capacity}")
        }
        StateReason::HeldForGang { machines, gangs } => {
            let machines = plural(u64::from(*machines), "machine is", "machines are");
            format!("{machines} with room held for {}", gangs.join(", "))
        }
        StateReason::GangInsufficientCapacity { required, schedulable, zone } => {
            let zone = zone.as_ref().map_or(String::new(), |zone| format!(" in zone {zone}"));
            format!("the gang needs room for {required} tasks at once, there is room for {schedulable}{zone}")
        }
        StateReason::Provisioning { offers, booting } => {
            let booting = machine_count(*booting);
            format!("{booting} boot; being rented: {}", or_none(offers_text(offers)))
        }
        StateReason::CloudRejected { offers } => format!("the cloud had no more of {}", offers_text(offers)),
        StateReason::Schedulable { machines } => format!("{} may start it now", machine_count(*machines)),
        StateReason::KvUnreachable { since_s } => {
            format!("this controller has not reached the state service for {since_s:.1} s")
        }
        StateReason::NoLeader { unreachable_leader } => match unreachable_leader {
            Some(controller) => format!("{controller} led, and is not heard from"),
            None => "nobody leads".into(),
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

/// The items behind a prefix; nothing at all without items.
fn prefixed_list(prefix: &str, items: &[String]) -> String {
    if items.is_empty() { String::new() } else { format!("{prefix}{}", items.join(", ")) }
}

fn join<T>(items: &[T], separator: &str, text: impl Fn(&T) -> String) -> String {
    items.iter().map(text).collect::<Vec<_>>().join(separator)
}

/// Why the machines of a type do not take a task, by the number of machines for each cause.
fn machine_type_capacity(capacity: &MachineTypeCapacity) -> String {
    let causes = [
        (capacity.without_capacity, "without room"),
        (capacity.cordoned, "parked"),
        (capacity.unschedulable, "closed"),
        (capacity.excluded_after_failure, "failed the job before"),
        (capacity.excluded_by_zone, "excluded by its zone rule"),
    ];
    let causes: Vec<String> = causes
        .into_iter()
        .filter(|(machines, _)| *machines > 0)
        .map(|(machines, cause)| format!("{machines} {cause}"))
        .collect();
    format!(
        "{} of type {}: {}; most free on one: {} CPUs, {} GB",
        machine_count(capacity.machines),
        capacity.machine_type,
        causes.join(", "),
        capacity.max_free_cpus,
        capacity.max_free_memory_gb
    )
}

fn offers_text(offers: &[InstanceOfferView]) -> String {
    join(offers, "; ", |offer| {
        let count = if offer.count > 0 { format!("{} ", offer.count) } else { String::new() };
        let spot = if offer.spot { " (spot)" } else { "" };
        let backoff =
            offer.backoff_s.map_or(String::new(), |backoff_s| format!(", asked again in {backoff_s:.0} s"));
        format!("{count}{} in {}{spot}{backoff}", offer.machine_type, offer.zone)
    })
}
