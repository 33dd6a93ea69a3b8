//! One-task jobs come four a second; right after each was accepted, its user asks the other controllers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cloud::TypeSpec;
use crate::deployment::{Deployment, Plan};
use crate::http::Client;
use crate::jobs::Job;
use crate::{Setting, Verdict};

/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(250);
/// The end of the run, counted from its start.
const END: f64 = 110.0;
/// How long a user waits before it asks when there is no disruption.
const CALM: Duration = Duration::from_millis(50);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

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
        zones: vec!["hall-a"],
        types: vec![small],
        teams: vec![("office", 16.0, 32.0)],
        objectives: vec![("probe", 120.0)],
        read_answer: Duration::from_millis(5),
    };
    let mut deployment =
        Deployment::start(&setting.root, &setting.run, setting.record.clone(), &setting.logs, plan)?;
    deployment.wait_until_ready(Duration::from_secs(8))?;
    thread::sleep(Duration::from_secs(1));
    let addresses = deployment.addresses();
    let stopped = Arc::new(AtomicBool::new(false));
    // Other users ask about the first job all the time.
    let first = Job::new("job-000801", "probe", "office", "array", 0.5, 0.5);
    deployment.submit(&first)?;
    let asking: Vec<_> = addresses
        .iter()
        .map(|address| {
            let (mut client, stopped) = (Client::new(*address), stopped.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let _ = client.request("GET", "/work/job-000801", "", ANSWER_TIMEOUT);
                    thread::sleep(Duration::from_millis(3));
                }
            })
        })
        .collect();
    let mut clients: Vec<Client> = addresses.iter().map(|address| Client::new(*address)).collect();
    let (mut accepted, mut asked, mut forgotten) = (0, 0, Vec::new());
    let mut number = 802;
    while setting.record.now() < END && forgotten.is_empty() {
        let began = Instant::now();
        let job = Job::new(&format!("job-{number:06}"), "probe", "office", "array", 0.5, 0.5)
            .with("memory_gb", json!(0.5));
        deployment.add(&job);
        let at = number as usize % clients.len();
        number += 1;
        let answer = clients[at].request("POST", "/work", &job.body.to_string(), Duration::from_secs(5));
        let accepted_at = Instant::now();
        let mut notes = vec![format!("POST /work {} at controller-{at}: {answer:?}", job.uid())];
        if matches!(answer, Ok((200 | 201, _))) {
            accepted += 1;
            if !setting.trouble {
                thread::sleep(CALM);
            }
            let path = format!("/work/{}", job.uid());
            let others: Vec<usize> = (0..clients.len()).filter(|other| *other != at).collect();
            // Both questions are sent before the first answer is awaited.
            let mut sent = Vec::new();
            for other in others {
                sent.push((other, clients[other].send("GET", &path, "", ANSWER_TIMEOUT)));
            }
            let took = accepted_at.elapsed();
            for (other, sent) in sent {
                let reply = sent.and_then(|()| clients[other].receive());
                asked += 1;
                notes.push(format!("GET {path} at controller-{other}: {reply:?}"));
                if let Ok((status, body)) = &reply
                    && *status == 404
                {
                    let text = format!(
                        "{} was accepted by controller-{at}; asked {} us later, controller-{other} says {status} {body}",
                        job.uid(),
                        took.as_micros()
                    );
                    forgotten.push(text);
                }
            }
        }
        notes.iter().for_each(|note| setting.record.line("user", note));
        thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
    }
    stopped.store(true, Ordering::Relaxed);
    for thread in asking {
        let _ = thread.join();
    }
    setting.record.line("user", &format!("{accepted} jobs accepted, {asked} questions"));
    if !deployment.all_run() {
        return Err("a controller ended".into());
    }
    Ok(match forgotten.first() {
        Some(text) => Verdict::Broken(text.clone()),
        None => Verdict::Held(format!("{accepted} jobs, {asked} questions, no 404")),
    })
}
