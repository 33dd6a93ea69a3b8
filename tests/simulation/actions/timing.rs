//! Actions that let time pass and check conditions.

use super::super::SimulatedCluster;
use super::{ActionResult, parse_seconds, usage_error};

impl SimulatedCluster {
    pub(super) fn advance(&mut self, words: &[&str]) -> ActionResult {
        let [seconds] = words else { return usage_error("SECONDS") };
        let until = self.deadline_in(seconds)?;
        while self.now < until {
            self.step();
        }
        Ok(())
    }

    pub(super) fn until(&mut self, words: &[&str]) -> ActionResult {
        let [seconds, condition @ ..] = words else { return usage_error("SECONDS CONDITION") };
        let until = self.deadline_in(seconds)?;
        while !self.condition_holds(condition) {
            if self.now >= until {
                return Err(format!(
                    "the condition did not hold within {seconds} s{}",
                    self.dag_runs.responses_text()
                ));
            }
            self.step();
        }
        Ok(())
    }

    pub(super) fn expect(&mut self, condition: &[&str]) -> ActionResult {
        if self.condition_holds(condition) {
            Ok(())
        } else {
            Err(format!("the condition does not hold; counters: {:?}", self.counters))
        }
    }

    pub(super) fn never(&mut self, words: &[&str]) -> ActionResult {
        let [seconds, condition @ ..] = words else { return usage_error("SECONDS CONDITION") };
        let until = self.deadline_in(seconds)?;
        while self.now < until {
            self.step();
            if self.condition_holds(condition) {
                return Err(format!("the condition held at {} ms", self.now));
            }
        }
        Ok(())
    }

    /// Expects that a rule is violated within some seconds, as the scenario brings about on purpose.
    pub(super) fn expect_violation(&mut self, words: &[&str]) -> ActionResult {
        let [rule, seconds] = words else { return usage_error("RULE SECONDS") };
        let until = self.deadline_in(seconds)?;
        while self.violations.is_empty() {
            if self.now >= until {
                return Err(format!("{rule} was not violated within {seconds} s"));
            }
            self.step();
        }
        self.violations.retain(|violation| !violation.starts_with(rule));
        Ok(())
    }

    pub(super) fn deadline_in(&self, seconds: &str) -> Result<u64, String> {
        Ok(self.now + (parse_seconds(seconds)? * 1000.0) as u64)
    }
}
