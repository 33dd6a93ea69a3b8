//! A job whose tasks must be in one zone, on two machines that the cloud may take back, in two zones.

use std::time::Duration;

use crate::Verdict;
use crate::cloud::{Kind, Plan, Stock};
use crate::cluster::{Cluster, Site};
use crate::rec;
use crate::record::now;
use crate::worker::Timings;
use crate::world::Job;

/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const WAIT_S: f64 = 90.0;
/// The notice in seconds: half of a nominal 26 s.
const NOTICE_S: f64 = 13.0;

fn site() -> Site {
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
                boot_s: 2.0,
            }],
            halls: vec!["north", "south", "east"],
            stock: vec![
                Stock { kind: "node-4", hall: "north", loaners: true, count: 1 },
                Stock { kind: "node-4", hall: "south", loaners: true, count: 1 },
            ],
            list_lag_s: 4.0,
            latency: Duration::from_millis(100),
        },
        store_rps: 70.0,
        store_write_rps: 25.0,
        value_kb: 4.0,
        txn_ops: 8,
        cloud_rps: 3.0,
    }
}

pub fn run(trouble: bool) -> Verdict {
    let cluster = Cluster::start(site());
    if !cluster.wait_ready(10.0) {
        cluster.record_logs();
        return Verdict::CouldNotRun("the controllers are not ready".into());
    }
    let job = Job { together: true, due_s: Some(20.0), ..Job::array(1, "alpha", 8, 1.0, 6.0) };
    if !cluster.submit(&job) {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    let started = now() + 20.0;
    let on = loop {
        let machine = cluster
            .world
            .facts()
            .present
            .iter()
            .filter(|((uid, _), _)| *uid == job.uid)
            .flat_map(|(_, on)| on.keys().cloned())
            .next();
        match machine {
            Some(machine) => break machine,
            None if now() > started => {
                cluster.record_logs();
                return Verdict::CouldNotRun("the job does not start".into());
            }
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    while cluster.cloud.workers().len() < 2 {
        if now() > started {
            cluster.record_logs();
            return Verdict::CouldNotRun("only one machine came up".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(300));
    if trouble && let Some(worker) = cluster.cloud.workers().iter().find(|worker| worker.place.machine == on)
    {
        worker.give_notice(NOTICE_S);
    }
    let trouble_over = now() + NOTICE_S;
    let mut waiting_since: Option<f64> = None;
    loop {
        std::thread::sleep(Duration::from_millis(200));
        if cluster.world.is_done(&job.uid) {
            break;
        }
        let runs = cluster.world.facts().present.keys().any(|(uid, _)| *uid == job.uid);
        let room = cluster.cloud.workers().iter().any(|worker| worker.free_vcpus() >= job.vcpus);
        if runs || !room || now() < trouble_over {
            waiting_since = None;
        } else {
            let since = *waiting_since.get_or_insert_with(now);
            if now() - since > WAIT_S {
                rec!("{} waits since {since:.1} s while a machine that fits has room", job.uid);
                cluster.poll(&job.uid);
                cluster.record_logs();
                return Verdict::Broken(format!(
                    "{} waited for {WAIT_S} s while a machine that fits had room",
                    job.uid
                ));
            }
        }
        if now() > 116.0 {
            cluster.record_logs();
            return Verdict::CouldNotRun("no result in time".into());
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let told = cluster.poll(&job.uid);
    cluster.record_logs();
    match cluster.world.facts().violations.first() {
        Some(text) => Verdict::Broken(text.clone()),
        None if told.as_ref().is_some_and(|(_, state)| state == "done") => Verdict::Held,
        None => Verdict::CouldNotRun(format!("the job's tasks are done, but it is called {told:?}")),
    }
}
