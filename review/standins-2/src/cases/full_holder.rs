//! The only machine with a job's image is full for minutes, another machine has room. The job's estimate is too low.

use std::thread;
use std::time::{Duration, Instant};

use crate::cloud::TypeSpec;
use crate::deployment::{Deployment, Plan};
use crate::jobs::Job;
use crate::{Setting, Verdict};

/// How long a job may be left waiting while a machine that fits has room.
const WAIT_S: f64 = 90.0;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let big = TypeSpec {
        name: "big",
        vcpus: 16.0,
        memory_gb: 64.0,
        pull_gb_per_s: 0.5,
        price: 0.8,
        low_price: 0.2,
        ready_s: 5.0,
        capacity: 4,
    };
    let small =
        TypeSpec { name: "small", vcpus: 4.0, memory_gb: 16.0, price: 0.2, low_price: 0.04, ..big.clone() };
    let plan = Plan {
        zones: vec!["hall-a"],
        types: vec![big, small],
        teams: vec![("speech", 64.0, 128.0)],
        objectives: vec![("clean", 200.0), ("refresh", 300.0)],
    };
    let mut deployment =
        Deployment::start(&setting.root, &setting.run, setting.record.clone(), &setting.logs, plan)?;
    let cloud = deployment.cloud.clone();
    cloud.add("big", "hall-a", false, Duration::from_secs(60), Duration::ZERO);
    cloud.add("small", "hall-a", true, Duration::from_secs(60), Duration::ZERO);
    deployment.wait_until_ready(Duration::from_secs(8))?;
    thread::sleep(Duration::from_millis(500));
    deployment.wait_until_led(Duration::from_secs(10))?;
    // The image comes onto the big machine.
    let run_s = 14.0;
    let image = |job: Job| job.with("bundle", "img-clean".into()).with("size_gb", 3.0.into());
    let guess_s = if setting.trouble { run_s / 2.0 } else { run_s };
    let first = image(Job::new("job-000301", "clean", "speech", "array", 2.0, 1.0))
        .with("boxkinds", serde_json::json!(["big"]));
    deployment.submit(&first)?;
    if !deployment.wait_until_done(first.uid(), Duration::from_secs(20)) {
        return Err("the first job did not run".into());
    }
    let long = Job::new("job-000302", "refresh", "speech", "array", 3.0, 200.0)
        .with("pieces", 5.into())
        .with("boxkinds", serde_json::json!(["big"]));
    deployment.submit(&long)?;
    let until = Instant::now() + Duration::from_secs(10);
    while !cloud.workers().iter().any(|worker| worker.is_running("job-000302/4")) {
        if Instant::now() > until {
            return Err("the long tasks did not start".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let job =
        image(Job::new("job-000303", "clean", "speech", "array", 2.0, run_s)).with("guess_s", guess_s.into());
    deployment.submit(&job)?;
    // How long the job has been waiting while a machine that fits had room, without a break.
    let (mut room_since, mut waited, mut next_poll) = (None, 0.0_f64, 0.0);
    while setting.record.now() < 117.0 && waited < WAIT_S + 1.0 {
        thread::sleep(Duration::from_millis(100));
        let now = setting.record.now();
        let has_room = cloud.workers().iter().any(|worker| {
            let (vcpus, memory_gb) = worker.free();
            vcpus >= 2.0 && memory_gb >= 1.0
        });
        let since = room_since.get_or_insert(now);
        waited = now - *since;
        if !has_room {
            room_since = None;
        }
        if now >= next_poll {
            next_poll = now + 5.0;
            match deployment.poll(job.uid()).as_deref() {
                Some("done") => return Ok(Verdict::Held("the job ran on the other machine".into())),
                Some("running") => room_since = None,
                _ => {}
            }
        }
    }
    if !deployment.all_run() {
        return Err("a controller ended".into());
    }
    Ok(if waited > WAIT_S {
        Verdict::Broken(format!(
            "{} was left waiting for {waited:.0} s while a machine that fits had room and its team was under its limit",
            job.uid()
        ))
    } else {
        Verdict::Held(format!("the job waited {waited:.0} s while a machine had room"))
    })
}
