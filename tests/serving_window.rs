//! Property tests of how long a leader may serve workers without reading the store: the inequalities of
//! docs/design.md, "Serving window", for arbitrary settings.

use olivelatch::coordination::leadership::{Leadership, MAX_CACHE_AGE_MS};
use olivelatch::ids::Millis;
use olivelatch::settings::WorkerTimings;
use proptest::prelude::*;

/// Maximum relative drift between two clocks, each of which is off by at most 0.05%.
const MAX_DRIFT: f64 = 0.001;

fn worker_timings(lease_ms: u64, cancel_deadline_ms: u64) -> WorkerTimings {
    WorkerTimings {
        heartbeat_interval_ms: 5_000,
        lease_duration_ms: lease_ms,
        gang_wait_ms: 30_000,
        gang_peer_ms: 5_000,
        cancel_deadline_ms,
    }
}

proptest! {
    /// A task that is cancelled right after the leader's last poll stops within `cancel_s`, no matter how late the
    /// leader sends its last response to the worker.
    #[test]
    fn tasks_cancelled_after_the_last_poll_stop_before_the_deadline(
        lease in 2_000_u64..120_000, margin in 0_u64..120_000, leader_lease in 1_000_u64..60_000, polled_at in 0_u64..200_000,
    ) {
        let workers = worker_timings(lease, lease + margin);
        let served_until = Leadership::new("n", leader_lease).serves_workers_until(&workers, Some(Millis(polled_at))).0;
        let stopped_by = served_until.saturating_sub(polled_at) as f64 + lease as f64 * (1.0 + MAX_DRIFT);
        // `margin` is the time from the end of a worker's lease to the cancellation deadline. If it is smaller than
        // this, the deadline cannot be guaranteed. Serving is then bounded by the maximum cache age with which a leader
        // may start tasks.
        let margin_suffices = margin as f64 >= MAX_CACHE_AGE_MS as f64 + lease as f64 * 0.002 + 1_300.0;
        prop_assert!(!margin_suffices || stopped_by <= workers.cancel_deadline_ms as f64, "stopped after {stopped_by} ms, the deadline is {} ms", workers.cancel_deadline_ms);
        prop_assert!(served_until <= polled_at + margin.max(MAX_CACHE_AGE_MS));
    }

    /// The next leader waits at least as long as the previous one may serve after its lease has expired, whatever the
    /// lease duration of the previous leader.
    #[test]
    fn the_next_leader_waits_out_the_previous_serving_window(lease in 2_000_u64..120_000, margin in 0_u64..120_000, leader_lease in 1_000_u64..60_000) {
        let workers = worker_timings(lease, lease + margin);
        let leader = Leadership::new("n", leader_lease);
        // The lease is renewed at 0 and expires at `leader_lease`; the store is polled throughout.
        let served_until = leader.serves_workers_until(&workers, Some(Millis(u64::MAX / 4))).0;
        prop_assert!(served_until <= leader_lease + Leadership::max_serving_after_lease_ms(&workers));
    }

    /// A leader that has just polled the store may serve workers, at least until its lease expires or its cache reaches
    /// the maximum age.
    #[test]
    fn a_leader_serves_workers_after_a_poll(lease in 2_000_u64..120_000, margin in 0_u64..120_000, leader_lease in 1_000_u64..60_000) {
        let leader = Leadership::new("n", leader_lease);
        let workers = worker_timings(lease, lease + margin);
        prop_assert!(leader.serves_workers_until(&workers, Some(Millis(0))) > Millis(0));
        prop_assert!(leader.serves_workers_until(&workers, Some(Millis(0))) >= leader.lease_valid_until().min(Millis(MAX_CACHE_AGE_MS)));
    }
}
