//! A service takes most of the only machine, and an array comes that does not fit beside it.

use std::thread;
use std::time::{Duration, Instant};

use crate::cloud::TypeSpec;
use crate::deployment::{Deployment, Plan};
use crate::jobs::Job;
use crate::{Setting, Verdict};

/// How long the array may be left waiting.
const WAIT: Duration = Duration::from_secs(95);

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let small = TypeSpec {
        name: "small",
        vcpus: 4.0,
        memory_gb: 16.0,
        pull_gb_per_s: 0.5,
        price: 0.2,
        low_price: 0.06,
        ready_s: 3.0,
        capacity: 8,
    };
    let plan = Plan {
        zones: vec!["hall-a", "hall-b", "hall-c"],
        types: vec![small],
        teams: vec![("office", 16.0, 32.0)],
        objectives: vec![("nightly", 120.0)],
        read_answer: Duration::ZERO,
    };
    let mut deployment =
        Deployment::start(&setting.root, &setting.run, setting.record.clone(), &setting.logs, plan)?;
    let cloud = deployment.cloud.clone();
    deployment.wait_until_ready(Duration::from_secs(8))?;
    if setting.trouble {
        let service = Job::new("job-000401", "portal", "office", "daemon", 3.0, 1.0).endless();
        deployment.submit(&service)?;
        let until = Instant::now() + Duration::from_secs(12);
        while !cloud.workers().iter().any(|worker| worker.is_running("job-000401/0")) {
            if Instant::now() > until {
                return Err("the service did not start".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    let job = Job::new("job-000402", "nightly", "office", "array", 2.0, 3.0).with("pieces", 2.into());
    deployment.submit(&job)?;
    let rentals = cloud.rentals();
    let is_done = deployment.wait_until_done(job.uid(), WAIT);
    if !deployment.all_run() {
        return Err("a controller ended".into());
    }
    Ok(if is_done {
        Verdict::Held("the accepted job ran".into())
    } else {
        Verdict::Broken(format!(
            "{} was accepted and has not run in {} s; {} rental requests since, though the cloud has machines",
            job.uid(),
            WAIT.as_secs(),
            cloud.rentals() - rentals
        ))
    })
}
