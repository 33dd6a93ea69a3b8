//! Draws the jobs of the load and their arrival times. The load is an open loop: arrivals never wait for
//! responses. The random number generator is seeded, so the same plan gives the same jobs. Does no I/O and
//! reads no clock.

use olivelatch::protocol::users::JobKind;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::control::SimulatedJob;
use crate::plan::{JobClassPlan, PhasePlan, Plan, team_name};

/// Minimum time from a job's submission to its cancellation.
const CANCEL_AFTER_MS: u64 = 2_000;
/// The cancellation time is drawn from a window of this length, which begins at the minimum.
const CANCEL_WINDOW_MS: u64 = 20_000;
/// Time that saving a checkpoint takes according to a job's submission and description. Simulated tasks save
/// no checkpoints, so a stopped task ends at once.
const CHECKPOINT_MS: u64 = 500;

/// A job that arrives. Times are in milliseconds from the beginning of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Planned time of the submission.
    pub at_ms: u64,
    /// Id of the job.
    pub job: String,
    /// Name of the job's class in the plan.
    pub class: String,
    /// Rank of the team that owns the job; 0 is the largest team.
    pub team: usize,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of one task.
    pub cpus: f64,
    /// Body of the submission that the user sends to a controller.
    pub submission: Value,
    /// Description of the job that is sent to the workers.
    pub description: SimulatedJob,
    /// Earliest time at which the user cancels the job; `None` if the user does not cancel it.
    pub cancel_at_ms: Option<u64>,
}

/// The sequence of arrivals of one class of jobs.
struct ArrivalStream {
    class: String,
    plan: JobClassPlan,
    /// Mean number of tasks of a job.
    mean_tasks: f64,
    /// Time of the next arrival, from the beginning of the load; infinite after the last phase.
    next_arrival_ms: f64,
}

/// All arrivals of a plan, in time order.
pub struct Arrivals {
    rng: StdRng,
    streams: Vec<ArrivalStream>,
    /// End of each phase in milliseconds, and its task starts per second.
    phase_rates: Vec<(f64, f64)>,
    cumulative_team_weights: Vec<f64>,
    next_job: u64,
}

impl Arrivals {
    /// Creates the arrivals of a plan, from the beginning of the load.
    pub fn new(plan: &Plan) -> Arrivals {
        let mut arrivals = Arrivals {
            rng: StdRng::seed_from_u64(plan.seed),
            streams: Vec::new(),
            phase_rates: phase_rates(plan),
            cumulative_team_weights: cumulative_team_weights(plan.teams.count),
            next_job: 1,
        };
        for (class, job) in &plan.job_classes {
            let mean_tasks =
                job.tasks.iter().map(|tasks| f64::from(*tasks)).sum::<f64>() / job.tasks.len() as f64;
            let mut stream =
                ArrivalStream { class: class.clone(), plan: job.clone(), mean_tasks, next_arrival_ms: 0.0 };
            arrivals.advance(&mut stream);
            arrivals.streams.push(stream);
        }
        arrivals
    }

    /// Returns a stream's arrival rate at a time, in jobs per second, and the end of the phase, until which
    /// the rate holds; `None` after the last phase.
    fn arrival_rate(&self, stream: &ArrivalStream, at_ms: f64) -> Option<(f64, f64)> {
        let (end_ms, starts_per_s) = self.phase_rates.iter().find(|(end_ms, _)| at_ms < *end_ms)?;
        Some((starts_per_s * stream.plan.share / stream.mean_tasks, *end_ms))
    }

    /// Draws the stream's next arrival time; the gaps between arrivals are exponentially distributed within a
    /// phase.
    fn advance(&mut self, stream: &mut ArrivalStream) {
        loop {
            let Some((jobs_per_s, end_ms)) = self.arrival_rate(stream, stream.next_arrival_ms) else {
                stream.next_arrival_ms = f64::INFINITY;
                return;
            };
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap_ms = if jobs_per_s > 0.0 { -uniform.ln() / jobs_per_s * 1000.0 } else { f64::INFINITY };
            if stream.next_arrival_ms + gap_ms < end_ms {
                stream.next_arrival_ms += gap_ms;
                return;
            }
            // The exponential distribution is memoryless, so the gap can be drawn again from the time at
            // which the rate changes.
            stream.next_arrival_ms = end_ms;
        }
    }

    /// Removes and returns the next job that arrives at `now_ms` or earlier.
    pub fn pop_due(&mut self, now_ms: u64) -> Option<Arrival> {
        let index = (0..self.streams.len())
            .min_by(|a, b| self.streams[*a].next_arrival_ms.total_cmp(&self.streams[*b].next_arrival_ms))?;
        if self.streams[index].next_arrival_ms > now_ms as f64 {
            return None;
        }
        let mut stream = self.streams.swap_remove(index);
        let arrival = self.create_arrival(&stream);
        self.advance(&mut stream);
        self.streams.push(stream);
        Some(arrival)
    }

    fn pick_team(&mut self) -> usize {
        let total_weight = self.cumulative_team_weights.last().copied().unwrap_or(1.0);
        let drawn = self.rng.random_range(0.0..total_weight);
        self.cumulative_team_weights
            .partition_point(|sum| *sum <= drawn)
            .min(self.cumulative_team_weights.len() - 1)
    }

    fn create_arrival(&mut self, stream: &ArrivalStream) -> Arrival {
        let plan = &stream.plan;
        let at_ms = stream.next_arrival_ms as u64;
        let job = format!("job-{:06}", self.next_job);
        self.next_job += 1;
        let team = self.pick_team();
        let tasks = plan.tasks[self.rng.random_range(0..plan.tasks.len())];
        let run_s = self.rng.random_range(plan.run_s[0]..=plan.run_s[1]);
        let image = format!("{}-{}", stream.class, self.rng.random_range(0..plan.images));
        let cancelled = self.rng.random_bool(plan.cancelled_share);
        let cancel_at_ms = at_ms + CANCEL_AFTER_MS + self.rng.random_range(0..CANCEL_WINDOW_MS);
        let description = SimulatedJob {
            job: job.clone(),
            cpus: plan.cpus,
            memory_gb: plan.memory_gb,
            image,
            size_gb: plan.image_gb,
            gang: plan.shape == JobKind::Gang,
            tasks,
            checkpoint_ms: CHECKPOINT_MS,
            run_ms: (run_s * 1000.0) as u64,
        };
        let submission = submission(stream, &description, team, run_s);
        Arrival {
            at_ms,
            job,
            class: stream.class.clone(),
            team,
            tasks,
            cpus: plan.cpus,
            submission,
            description,
            cancel_at_ms: cancelled.then_some(cancel_at_ms),
        }
    }
}

/// Returns the end of each phase in milliseconds, and its task starts per second.
fn phase_rates(plan: &Plan) -> Vec<(f64, f64)> {
    let mut end_ms = 0.0;
    let rate = |phase: &PhasePlan| {
        end_ms += phase.seconds * 1000.0;
        (end_ms, phase.starts_per_s)
    };
    plan.phases.values().map(rate).collect()
}

/// Returns the cumulative sums of the teams' weights; the weight of the n-th largest team is 1/n.
fn cumulative_team_weights(teams: usize) -> Vec<f64> {
    let mut sum = 0.0;
    let add_weight = |rank: usize| {
        sum += 1.0 / (rank + 1) as f64;
        sum
    };
    (0..teams).map(add_weight).collect()
}

/// Returns the body of the submission that the user sends to a controller.
fn submission(stream: &ArrivalStream, job: &SimulatedJob, team: usize, run_s: f64) -> Value {
    let plan = &stream.plan;
    json!({"uid": job.job, "jobclass": stream.class, "owner": team_name(team), "shape": plan.shape,
        "urgency": plan.priority_class, "pieces": job.tasks, "vcpus": plan.cpus, "accelerators": 0.0,
        "memory_gb": plan.memory_gb, "bundle": job.image, "size_gb": plan.image_gb, "boxkinds": null, "hall": null,
        "together": plan.one_zone, "scatter": false, "loaners": true, "guess_s": run_s, "snapshot_s": 0.0,
        "flush_s": CHECKPOINT_MS as f64 / 1000.0, "due_s": null})
}
