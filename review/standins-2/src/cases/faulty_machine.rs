//! A gang fits one machine of the fleet, which fails every task that it starts. Any further machine is sound.

use std::thread;
use std::time::Duration;

use crate::cloud::TypeSpec;
use crate::deployment::{Deployment, Plan};
use crate::jobs::Job;
use crate::{Setting, Verdict};

/// The end of the run, counted from its start.
const END: f64 = 115.0;
/// How long the job may be left waiting after the faulty machine is gone.
const WAIT_S: f64 = 75.0;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let big = TypeSpec {
        name: "big",
        vcpus: 16.0,
        memory_gb: 64.0,
        pull_gb_per_s: 0.5,
        price: 0.8,
        low_price: 0.16,
        ready_s: 5.0,
        capacity: 6,
    };
    let small =
        TypeSpec { name: "small", vcpus: 4.0, memory_gb: 16.0, price: 0.2, low_price: 0.04, ..big.clone() };
    let plan = Plan {
        zones: vec!["hall-a"],
        types: vec![big, small],
        teams: vec![("speech", 64.0, 128.0)],
        objectives: vec![("retrain", 150.0)],
        read_answer: Duration::ZERO,
    };
    let mut deployment =
        Deployment::start(&setting.root, &setting.run, setting.record.clone(), &setting.logs, plan)?;
    let cloud = deployment.cloud.clone();
    let first = cloud.add("big", "hall-a", false, Duration::from_secs(300), Duration::ZERO);
    let first = first.ok_or("no such type")?;
    deployment.wait_until_ready(Duration::from_secs(8))?;
    thread::sleep(Duration::from_millis(500));
    deployment.wait_until_led(Duration::from_secs(10))?;
    let worker = cloud.workers().into_iter().next().ok_or("the machine did not start")?;
    if setting.trouble {
        worker.set_sick(true);
    }
    let job = Job::new("job-000201", "retrain", "speech", "gang", 15.0, 5.0).with("urgency", "high".into());
    deployment.submit(&job)?;
    let mut gone_at = None;
    let mut rentals_when_gone = 0;
    let mut next_poll = 0.0;
    while setting.record.now() < END {
        thread::sleep(Duration::from_millis(100));
        let now = setting.record.now();
        if gone_at.is_none() && !cloud.exists(&first) {
            gone_at = Some(now);
            rentals_when_gone = cloud.rentals();
        }
        if now >= next_poll {
            next_poll = now + 5.0;
            if deployment.poll(job.uid()).as_deref() == Some("done") {
                return Ok(Verdict::Held("the accepted job ran".into()));
            }
        }
    }
    if !deployment.all_run() {
        return Err("a controller ended".into());
    }
    let Some(gone_at) = gone_at else {
        return Ok(Verdict::Held("the faulty machine was kept, and the job is still being tried".into()));
    };
    let (waited, rentals) = (END - gone_at, cloud.rentals() - rentals_when_gone);
    Ok(if waited >= WAIT_S && rentals == 0 {
        Verdict::Broken(format!(
            "{} was accepted; the faulty machine was returned {waited:.0} s ago, since then nothing was rented for the job and it has not run; {} machines",
            job.uid(),
            cloud.count()
        ))
    } else {
        Verdict::Held(format!("{waited:.0} s after the return, {rentals} rental requests"))
    })
}
