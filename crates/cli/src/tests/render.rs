//! Tests of `render`.

use olivelatch::protocol::operators::{JobPhase, JobSummary, MachineTypeCapacity, StateReason};

use super::jobs_table;
use super::reasons::{reason_detail, reason_name, reason_remedy};

/// The name that is shown must be the name on the wire, as users search the documentation for it.
#[test]
fn reasons_are_shown_by_their_names_on_the_wire() {
    let reasons = [
        StateReason::Terminal { state: JobPhase::Done },
        StateReason::PersistingResult,
        StateReason::Running { tasks: 1 },
        StateReason::Starting { tasks: 2 },
        StateReason::ImageFetch { tasks: 1, image: "i".into(), image_gb: 1.0, longest_fetch_s: 0.5 },
        StateReason::WaitingForPeers { tasks: 1 },
        StateReason::RetryWait { tasks: 1, retry_in_s: 1.0, failed_on: vec!["m".into()] },
        StateReason::QueuedBehind { jobs: 1, tasks: 2, cpu_seconds: 3.0, first_jobs: vec![] },
        StateReason::InsufficientCapacity {
            requested_cpus: 1.0,
            requested_gpus: 0.0,
            requested_memory_gb: 1.0,
            machine_types: vec![MachineTypeCapacity::default()],
        },
        StateReason::HeldForGang { machines: 1, gangs: vec![] },
        StateReason::GangInsufficientCapacity { required: 3, schedulable: 1, zone: None },
        StateReason::Provisioning { offers: vec![], booting: 1 },
        StateReason::CloudRejected { offers: vec![] },
        StateReason::Schedulable { machines: 1 },
        StateReason::KvUnreachable { since_s: 1.0 },
        StateReason::NoLeader { unreachable_leader: None },
    ];
    for reason in &reasons {
        let wire = serde_json::to_value(reason).expect("JSON");
        assert_eq!(wire["reason"], reason_name(reason));
        assert!(!reason_detail(reason).is_empty() && !reason_remedy(reason).is_empty());
    }
}

#[test]
fn reasons_with_many_figures_are_rendered_as_one_sentence() {
    let no_machine = StateReason::NoEligibleMachine {
        requested_cpus: 2.5,
        requested_gpus: 1.0,
        requested_memory_gb: 8.0,
        machines: 15,
        wrong_machine_type: 1,
        wrong_zone: 2,
        spot_not_allowed: 4,
        too_small: 8,
    };
    assert_eq!(
        reason_detail(&no_machine),
        "no machine that the job may use is up (a task needs 2.5 CPUs, 8 GB); of 15 machines up, 1 are of another type, 2 are in another zone, 4 are spot machines, 8 are too small"
    );
    let no_capacity = StateReason::InsufficientCapacity {
        requested_cpus: 2.5,
        requested_gpus: 0.0,
        requested_memory_gb: 8.0,
        machine_types: vec![MachineTypeCapacity {
            machine_type: "large".into(),
            machines: 3,
            max_free_cpus: 1.5,
            max_free_memory_gb: 0.5,
            without_capacity: 2,
            cordoned: 1,
            ..MachineTypeCapacity::default()
        }],
    };
    assert_eq!(
        reason_detail(&no_capacity),
        "a task needs 2.5 CPUs, 8 GB; 3 machines of type large: 2 without capacity, 1 cordoned; largest free capacity of one machine: 1.5 CPUs, 0.5 GB"
    );
}

#[test]
fn unknown_values_are_shown_as_a_question_mark() {
    let row = JobSummary {
        id: "job-000001".into(),
        state: JobPhase::Cancelled,
        team: None,
        class: None,
        tasks: None,
        done: None,
        running: None,
        accepted_ms: None,
        first_start_ms: None,
        finished_ms: Some(1),
    };
    let text = jobs_table(&[row]);
    assert!(text.contains("?/?") && !text.contains("0/0"), "{text}");
}
