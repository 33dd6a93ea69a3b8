//! The leader loses the network for a few seconds while the cloud's answers to its rental requests are on their way, and
//! the other controllers crash, so that it leads again afterwards. The answers then arrive late.

use std::time::Duration;

use crate::cloud::{Kind, Plan, Stock};
use crate::cluster::{Cluster, Site};
use crate::link::Mode;
use crate::record::now;
use crate::worker::Timings;
use crate::world::Job;
use crate::{Verdict, rec};

/// Controllers are back about this long after an end.
const BACK_S: f64 = 6.0;
/// How long after the leader's return the cloud's answers arrive, in each try.
const ANSWERS_LATE_S: [f64; 3] = [0.35, 0.42, 0.3];
/// No further try begins after this time.
const LAST_TRY_S: f64 = 70.0;

fn site() -> Site {
    let stock = |hall, loaners| Stock { kind: "node-4", hall, loaners, count: 4 };
    Site {
        nodes: vec![("ctl-0", "north"), ("ctl-1", "south"), ("ctl-2", "east")],
        teams: vec![("alpha", 32.0, 64.0)],
        timings: Timings { report_s: 2.0, lease_s: 12.0, gang_wait_s: 30.0, gang_peer_s: 5.0 },
        cancel_s: 32.0,
        objectives: vec![("batch", 120.0)],
        plan: Plan {
            kinds: vec![Kind {
                name: "node-4",
                vcpus: 4.0,
                memory_gb: 16.0,
                price: 0.2,
                low_price: 0.06,
                boot_s: 9.0,
            }],
            halls: vec!["north", "south", "east"],
            stock: vec![stock("north", true), stock("south", false), stock("east", false)],
            list_lag_s: 8.0,
            latency: Duration::from_millis(250),
        },
        store_rps: 70.0,
        store_write_rps: 25.0,
        value_kb: 4.0,
        txn_ops: 8,
        cloud_rps: 5.0,
    }
}

pub fn run(trouble: bool) -> Verdict {
    let mut verdict = Verdict::Held;
    for answers_late_s in ANSWERS_LATE_S {
        if now() < LAST_TRY_S && matches!(verdict, Verdict::Held) {
            rec!("a try in which the answers are {answers_late_s} s late");
            verdict = try_once(trouble, answers_late_s);
        }
    }
    verdict
}

fn try_once(trouble: bool, answers_late_s: f64) -> Verdict {
    let cluster = Cluster::start(site());
    if !cluster.wait_ready(10.0) {
        cluster.record_logs();
        return Verdict::CouldNotRun("the controllers are not ready".into());
    }
    let Some((leader, token)) = cluster.store.leader() else {
        return Verdict::CouldNotRun("no leader".into());
    };
    let leading = cluster.controller(&leader);
    let others: Vec<_> = cluster.controllers.iter().filter(|controller| controller.name != leader).collect();
    let job = |number: u64, hall: &str, loaners| Job {
        hall: Some(hall.into()),
        loaners,
        ..Job::array(number, "alpha", 2, 2.0, 5.0)
    };
    let jobs = [job(1, "north", true), job(2, "south", false), job(3, "east", false)];
    let accepted = std::thread::scope(|scope| {
        let asked: Vec<_> = jobs
            .iter()
            .map(|job| {
                let (cluster, node) = (&cluster, others[0]);
                cluster.world.facts().jobs.insert(job.uid.clone(), job.clone());
                scope.spawn(move || {
                    matches!(cluster.ask_node(node, "POST", "/work", &job.body(), 5.0), Some((200 | 201, _)))
                })
            })
            .collect();
        asked.into_iter().all(|asked| asked.join().unwrap_or(false))
    });
    if !accepted {
        return Verdict::CouldNotRun("the jobs were not accepted".into());
    }
    if trouble {
        let until = now() + 10.0;
        while cluster.cloud.bookings() == 0 {
            if now() > until {
                cluster.record_logs();
                return Verdict::CouldNotRun("no machine was rented".into());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        rec!("{leader} loses the network, the others crash");
        leading.cloud_link.set(Mode::Hold);
        leading.store_link.set(Mode::Hold);
        let crashed_at = now();
        for other in &others {
            other.kill();
        }
        while cluster.store.leader().is_some() {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_millis(50));
        rec!("{leader} reaches the state service again");
        leading.store_link.set(Mode::Open);
        let until = now() + 1.0;
        while cluster.store.leader().is_none() && now() < until {
            std::thread::sleep(Duration::from_millis(2));
        }
        rec!("leader: {:?}, before: {leader} {token}", cluster.store.leader());
        std::thread::sleep(Duration::from_secs_f64(answers_late_s));
        rec!("{leader} reaches the cloud again, and what was held back arrives");
        leading.cloud_link.set(Mode::Open);
        std::thread::sleep(Duration::from_secs_f64((crashed_at + BACK_S - now()).max(0.0)));
        for other in &others {
            other.start();
        }
    }
    let until = now() + 40.0;
    while now() < until && cluster.world.facts().violations.is_empty() {
        if jobs.iter().all(|job| cluster.world.is_done(&job.uid)) {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(3));
    for job in &jobs {
        cluster.poll(&job.uid);
    }
    cluster.record_logs();
    let facts = cluster.world.facts();
    match facts.violations.first() {
        Some(text) => Verdict::Broken(text.clone()),
        None if facts.starts > 0 => Verdict::Held,
        None => Verdict::CouldNotRun("no task started".into()),
    }
}
