//! Answers and orders to one machine are lost for a while, just as a gang is placed on it and on another machine.

use std::time::Duration;

use crate::cloud::{Kind, Plan, Stock};
use crate::cluster::{Cluster, Site};
use crate::record::now;
use crate::worker::Timings;
use crate::world::Job;
use crate::{Verdict, rec};

/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const WAIT_S: f64 = 90.0;
const GANG_WAIT_S: f64 = 10.0;
const LEASE_S: f64 = 22.0;
/// Longer than the gang waits for its tasks, shorter than the worker's lease.
const DEAF_S: f64 = 14.0;

fn site() -> Site {
    Site {
        nodes: vec![("ctl-0", "hall-a"), ("ctl-1", "hall-a"), ("ctl-2", "hall-a")],
        teams: vec![("alpha", 32.0, 64.0)],
        timings: Timings { report_s: 3.0, lease_s: LEASE_S, gang_wait_s: GANG_WAIT_S, gang_peer_s: 5.0 },
        cancel_s: 45.0,
        objectives: vec![("batch", 120.0)],
        plan: Plan {
            kinds: vec![Kind {
                name: "node-4",
                vcpus: 4.0,
                memory_gb: 16.0,
                price: 0.2,
                low_price: 0.06,
                boot_s: 1.5,
            }],
            halls: vec!["hall-a"],
            stock: vec![Stock { kind: "node-4", hall: "hall-a", loaners: false, count: 2 }],
            list_lag_s: 6.0,
            latency: Duration::from_millis(100),
        },
        store_rps: 150.0,
        store_write_rps: 50.0,
        value_kb: 16.0,
        txn_ops: 16,
        cloud_rps: 4.0,
    }
}

pub fn run(trouble: bool) -> Verdict {
    let cluster = Cluster::start(site());
    let could_not = |text: &str| {
        cluster.record_logs();
        Verdict::CouldNotRun(text.into())
    };
    if !cluster.wait_ready(10.0) {
        return could_not("the controllers are not ready");
    }
    // A first gang brings both machines up.
    let gang =
        |number| Job { shape: "gang".into(), loaners: false, ..Job::array(number, "alpha", 2, 3.0, 2.0) };
    let (first, second) = (gang(1), gang(2));
    if !cluster.submit(&first) {
        return could_not("the first gang was not accepted");
    }
    let until = now() + 20.0;
    while cluster.poll(&first.uid).is_none_or(|(_, state)| state != "done") {
        if now() > until {
            return could_not("the first gang did not run");
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let workers = cluster.cloud.workers();
    let deaf_from = now();
    if trouble {
        rec!("answers and orders to {} are lost from now on", workers[0].place.machine);
        workers[0].cuts.lock().expect("cuts").deaf = true;
    }
    if !cluster.submit(&second) {
        return could_not("the second gang was not accepted");
    }
    std::thread::sleep(Duration::from_secs_f64((deaf_from + DEAF_S - now()).max(0.0)));
    if trouble {
        rec!("answers and orders to {} arrive again", workers[0].place.machine);
        workers[0].cuts.lock().expect("cuts").deaf = false;
    }
    let mut waiting_since: Option<f64> = None;
    loop {
        std::thread::sleep(Duration::from_millis(200));
        if cluster.world.is_done(&second.uid) {
            break;
        }
        let runs = cluster.world.facts().present.keys().any(|(uid, _)| *uid == second.uid);
        let room =
            cluster.cloud.workers().iter().filter(|worker| worker.free_vcpus() >= second.vcpus).count();
        if runs || room < second.pieces as usize {
            waiting_since = None;
        } else {
            let since = *waiting_since.get_or_insert_with(now);
            if now() - since > WAIT_S {
                rec!("{} waits since {since:.1} s while machines that fit have room", second.uid);
                cluster.poll(&second.uid);
                cluster.record_logs();
                return Verdict::Broken(format!(
                    "{} waited for {WAIT_S} s while {room} machines that fit had room",
                    second.uid
                ));
            }
        }
        if now() > 117.0 {
            return could_not("no result in time");
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let told = cluster.poll(&second.uid);
    cluster.record_logs();
    match cluster.world.facts().violations.first() {
        Some(text) => Verdict::Broken(text.clone()),
        None if told.as_ref().is_some_and(|(_, state)| state == "done") => Verdict::Held,
        None => Verdict::CouldNotRun(format!("the gang's tasks are done, but it is called {told:?}")),
    }
}
