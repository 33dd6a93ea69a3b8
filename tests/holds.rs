//! How long a leader may answer workers without seeing the records: the inequalities of docs/design.md, "Serving window", for any settings.

use olivelatch::coordination::leadership::{Leadership, MAX_CACHE_AGE_MS};
use olivelatch::ids::Millis;
use olivelatch::settings::WorkerTimings;
use proptest::prelude::*;

/// Between two steady clocks, off by 0.05% each way.
const DRIFT: f64 = 0.001;

fn times(lease_ms: u64, cancel_ms: u64) -> WorkerTimings {
    WorkerTimings {
        heartbeat_interval_ms: 5_000,
        lease_duration_ms: lease_ms,
        gang_wait_ms: 30_000,
        gang_peer_ms: 5_000,
        cancel_deadline_ms: cancel_ms,
    }
}

proptest! {
    /// What is withdrawn at any time after the last look is gone within `cancel_s`, however late the last answer.
    #[test]
    fn what_is_cancelled_after_the_last_poll_stops_in_time(
        lease in 2_000_u64..120_000, over in 0_u64..120_000, life in 1_000_u64..60_000, known in 0_u64..200_000,
    ) {
        let workers = times(lease, lease + over);
        let last = Leadership::new("n", life).serves_workers_until(&workers, Some(Millis(known))).0;
        let gone = last.saturating_sub(known) as f64 + lease as f64 * (1.0 + DRIFT);
        // Where the settings leave no room, starts' own freshness bounds it.
        let room = over as f64 >= MAX_CACHE_AGE_MS as f64 + lease as f64 * 0.002 + 1_300.0;
        prop_assert!(!room || gone <= workers.cancel_deadline_ms as f64, "{gone} of {}", workers.cancel_deadline_ms);
        prop_assert!(last <= known + over.max(MAX_CACHE_AGE_MS));
    }

    /// The next leader counts with a hold at least as long as that of a leader of any life.
    #[test]
    fn the_next_leader_waits_for_a_leader_of_any_life(lease in 2_000_u64..120_000, over in 0_u64..120_000, life in 1_000_u64..60_000) {
        let workers = times(lease, lease + over);
        let leader = Leadership::new("n", life);
        // The lease was renewed at 0 and ends at `life`, and the records are seen all the time.
        let last = leader.serves_workers_until(&workers, Some(Millis(u64::MAX / 4))).0;
        prop_assert!(last <= life + Leadership::max_serving_after_lease_ms(&workers));
    }

    /// A leader that has just looked answers; one that never has does not.
    #[test]
    fn a_fresh_poll_is_served(lease in 2_000_u64..120_000, over in 0_u64..120_000, life in 1_000_u64..60_000) {
        let leader = Leadership::new("n", life);
        let workers = times(lease, lease + over);
        prop_assert!(leader.serves_workers_until(&workers, Some(Millis(0))) > Millis(0));
        prop_assert!(leader.serves_workers_until(&workers, Some(Millis(0))) >= leader.lease_valid_until().min(Millis(MAX_CACHE_AGE_MS)));
    }
}
