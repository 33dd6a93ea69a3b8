//! Tests of `render`.

use super::*;

/// The word shown is the word of the interface, for every reason.
#[test]
fn reasons_are_shown_by_the_words_of_the_interface() {
    let all = [
        Reason::Ended { state: JobState::Done },
        Reason::Recording,
        Reason::Running { tasks: 1 },
        Reason::Starting { tasks: 2 },
        Reason::ImageFetch { tasks: 1, image: "i".into(), image_gb: 1.0, longest_s: 0.5 },
        Reason::Gathering { tasks: 1 },
        Reason::RetryWait { tasks: 1, next_s: 1.0, failed_on: vec!["m".into()] },
        Reason::Behind { jobs: 1, tasks: 2, cpu_seconds: 3.0, first: vec![] },
        Reason::NoRoom {
            needs_cpus: 1.0,
            needs_gpus: 0.0,
            needs_memory_gb: 1.0,
            kinds: vec![KindRoom::default()],
        },
        Reason::HeldForGang { machines: 1, gangs: vec![] },
        Reason::GangLacks { needs: 3, could_start: 1, zone: None },
        Reason::Booking { offers: vec![], booting: 1 },
        Reason::CloudRefused { offers: vec![] },
        Reason::Due { machines: 1 },
        Reason::StateUnreachable { since_s: 1.0 },
        Reason::NoLeader { silent: None },
    ];
    for one in &all {
        let wire = serde_json::to_value(one).expect("JSON");
        let (word, says, change) = reason(one);
        assert_eq!(wire["reason"], word);
        assert!(!says.is_empty() && !change.is_empty());
    }
}

#[test]
fn what_is_not_known_is_shown_so() {
    let row = JobRow {
        id: "job-000001".into(),
        state: JobState::Withdrawn,
        team: None,
        class: None,
        tasks: None,
        done: None,
        running: None,
        accepted_ms: None,
        first_start_ms: None,
        ended_ms: Some(1),
    };
    let text = jobs(&[row]);
    assert!(text.contains("?/?") && !text.contains("0/0"), "{text}");
}
