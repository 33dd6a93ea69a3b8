//! Fault plans: the lines of a scenario, of which some belong to faults that may overlap, and the reduction of a plan
//! that fails.

use crate::simulation::SimulatedCluster;

/// Lines of a scenario, each with the time in ms at which it runs. In a fault, times count from the start of the fault.
pub type TimedLines = Vec<(u64, String)>;

/// The lines of a scenario: the setup, faults that may overlap, and the checks that follow them.
pub struct FaultPlan {
    pub setup: Vec<String>,
    /// Each fault with its start time, in ms since the end of the setup.
    pub faults: Vec<(u64, TimedLines)>,
    /// What users do during the faults, with times in ms since the end of the setup. Shrinking must keep it, because
    /// the final checks expect its jobs.
    pub user_actions: TimedLines,
    pub final_checks: Vec<String>,
}

impl FaultPlan {
    /// Returns the plan as the lines of a scenario.
    pub fn scenario_lines(&self) -> Vec<String> {
        let mut timed: Vec<(u64, &String)> = self
            .faults
            .iter()
            .flat_map(|(start_ms, fault)| {
                fault.iter().map(move |(offset_ms, line)| (start_ms + offset_ms, line))
            })
            .chain(self.user_actions.iter().map(|(at_ms, line)| (*at_ms, line)))
            .collect();
        timed.sort_by_key(|(at_ms, _)| *at_ms);
        let mut lines = self.setup.clone();
        let mut now_ms = 0;
        for (at_ms, line) in timed {
            if at_ms > now_ms {
                lines.push(format!("advance {}", (at_ms - now_ms) as f64 / 1000.0));
                now_ms = at_ms;
            }
            lines.push(line.clone());
        }
        lines.extend(self.final_checks.iter().cloned());
        lines
    }

    fn without_fault(&self, index: usize) -> FaultPlan {
        let mut faults = self.faults.clone();
        faults.remove(index);
        FaultPlan {
            setup: self.setup.clone(),
            faults,
            user_actions: self.user_actions.clone(),
            final_checks: self.final_checks.clone(),
        }
    }

    fn run(&self) -> Result<u64, String> {
        self.run_in(SimulatedCluster::new())
    }

    /// Runs the plan. Returns the longest time, in ms, that a task ran after its user knew of the cancellation.
    pub fn run_in(&self, mut cluster: SimulatedCluster) -> Result<u64, String> {
        for line in self.scenario_lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            cluster.run_action(&words).map_err(|problem| format!("{line}: {problem}"))?;
        }
        Ok(cluster.longest_run_after_cancel_ms())
    }
}

/// Removes each fault without which the plan still fails. Returns the smaller plan and its problem.
pub fn shrink(mut plan: FaultPlan, mut problem: String) -> (FaultPlan, String) {
    let mut index = 0;
    while index < plan.faults.len() {
        let smaller = plan.without_fault(index);
        match smaller.run() {
            Err(remaining_problem) => (plan, problem) = (smaller, remaining_problem),
            Ok(_) => index += 1,
        }
    }
    (plan, problem)
}

pub fn lines(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_string()).collect()
}
