//! A job that waits in a machine's queue is cancelled, while another job waits for a machine that is full.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cloud::{Cloud, TypeSpec};
use crate::deployment::{Deployment, Plan};
use crate::jobs::Job;
use crate::{Setting, Verdict};

/// How long a job may be left waiting while a machine that fits has room.
const WAIT_S: f64 = 90.0;
/// Time in which a job that starts at once is done.
const LET_RUN: Duration = Duration::from_secs(4);
/// The most jobs that come.
const MOST_JOBS: u32 = 4;
/// The end of the run, counted from its start.
const END: f64 = 117.0;

fn wait_until_running(cloud: &Cloud, tasks: &[&str]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    while !tasks.iter().all(|task| cloud.workers().iter().any(|worker| worker.is_running(task))) {
        if Instant::now() > until {
            return Err("the long tasks did not start".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    // The two machines are all that the cloud has.
    let big = TypeSpec {
        name: "big",
        vcpus: 16.0,
        memory_gb: 64.0,
        pull_gb_per_s: 0.5,
        price: 0.8,
        low_price: 0.2,
        ready_s: 5.0,
        capacity: 0,
    };
    let small =
        TypeSpec { name: "small", vcpus: 4.0, memory_gb: 16.0, price: 0.2, low_price: 0.05, ..big.clone() };
    let plan = Plan {
        zones: vec!["hall-a"],
        types: vec![big, small],
        teams: vec![("office", 32.0, 64.0)],
        objectives: vec![("nightly", 240.0)],
        read_answer: Duration::ZERO,
    };
    let mut deployment =
        Deployment::start(&setting.root, &setting.run, setting.record.clone(), &setting.logs, plan)?;
    let cloud = deployment.cloud.clone();
    cloud.add("big", "hall-a", false, Duration::from_secs(60), Duration::ZERO);
    cloud.add("small", "hall-a", false, Duration::from_secs(60), Duration::ZERO);
    deployment.wait_until_ready(Duration::from_secs(8))?;
    thread::sleep(Duration::from_millis(500));
    deployment.wait_until_led(Duration::from_secs(10))?;
    let array = |uid: &str, vcpus: f64, run_s: f64| Job::new(uid, "nightly", "office", "array", vcpus, run_s);
    // Both machines run long tasks; 2 CPUs of the big one and 1 CPU of the small one stay free.
    let long = array("job-000501", 2.0, 200.0).with("pieces", json!(7)).with("boxkinds", json!(["big"]));
    deployment.submit(&long)?;
    wait_until_running(&cloud, &["job-000501/0", "job-000501/6"])?;
    let long = array("job-000502", 3.0, 200.0).with("boxkinds", json!(["small"]));
    deployment.submit(&long)?;
    wait_until_running(&cloud, &["job-000502/0"])?;
    let ahead = array("job-000503", 4.0, 5.0).with("boxkinds", json!(["big"]));
    if setting.trouble {
        deployment.submit(&ahead)?;
        thread::sleep(Duration::from_secs(1));
    }
    // It depends on chance in which machine's queue a job waits: jobs come one after another until one has to wait.
    let mut waiting = None;
    for number in 504..504 + MOST_JOBS {
        let job = array(&format!("job-000{number}"), 2.0, 1.0);
        deployment.submit(&job)?;
        if !deployment.wait_until_done(job.uid(), LET_RUN) {
            waiting = Some(job);
            break;
        }
    }
    if setting.trouble {
        deployment.cancel(ahead.uid())?;
    }
    match waiting {
        Some(job) => watch(setting, &mut deployment, &job),
        None => Ok(Verdict::Held("all jobs ran".into())),
    }
}

/// Watches a job. The rule is broken if it is left waiting while a machine that fits has room without a break.
fn watch(setting: &Setting, deployment: &mut Deployment, job: &Job) -> Result<Verdict, String> {
    let cloud = deployment.cloud.clone();
    let (mut room_since, mut waited, mut next_poll) = (None, 0.0_f64, 0.0);
    while setting.record.now() < END && waited < WAIT_S + 1.0 {
        thread::sleep(Duration::from_millis(100));
        let now = setting.record.now();
        let has_room = cloud.workers().iter().any(|worker| {
            let (vcpus, memory_gb) = worker.free();
            vcpus >= 2.0 && memory_gb >= 1.0
        });
        waited = now - *room_since.get_or_insert(now);
        if !has_room {
            room_since = None;
        }
        if now >= next_poll {
            next_poll = now + 5.0;
            if deployment.poll(job.uid()).as_deref() == Some("done") {
                return Ok(Verdict::Held("the job that waited ran".into()));
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
        Verdict::Held(format!("waited {waited:.0} s while a machine had room"))
    })
}
