//! A guest team, whose classes have no objective, submits an array while no machine is rented.

use std::time::Duration;

use crate::cloud::TypeSpec;
use crate::deployment::{Deployment, Plan};
use crate::jobs::Job;
use crate::{Setting, Verdict};

/// How long the job may be left waiting.
const WAIT: Duration = Duration::from_secs(100);

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
        teams: vec![("office", 16.0, 32.0), ("guests", 0.0, 32.0)],
        objectives: vec![("nightly", 120.0)],
        read_answer: Duration::ZERO,
    };
    let mut deployment =
        Deployment::start(&setting.root, &setting.run, setting.record.clone(), &setting.logs, plan)?;
    deployment.wait_until_ready(Duration::from_secs(8))?;
    std::thread::sleep(Duration::from_secs(2));
    let (class, owner) = if setting.trouble { ("survey", "guests") } else { ("nightly", "office") };
    let job = Job::new("job-000101", class, owner, "array", 1.0, 3.0).with("pieces", 4.into());
    deployment.submit(&job)?;
    let is_done = deployment.wait_until_done(job.uid(), WAIT);
    if !deployment.all_run() {
        return Err("a controller ended".into());
    }
    let (rentals, capacity) = (deployment.cloud.rentals(), 8);
    Ok(if is_done {
        Verdict::Held("the accepted job ran".into())
    } else {
        Verdict::Broken(format!(
            "{} was accepted and has not run in {} s; {rentals} rental requests, though the cloud has {capacity} machines",
            job.uid(),
            WAIT.as_secs()
        ))
    })
}
