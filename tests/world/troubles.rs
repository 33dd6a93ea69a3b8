//! What goes wrong around controllers beside cuts and ends: machines that hear nothing, reports and transactions that come
//! late, controllers that stand still, clocks that run apart, a state service that answers slowly.

use std::collections::{BTreeMap, HashSet, VecDeque};

use olivelatch::coordination::{AskId, CallId, Clock, Input};
use olivelatch::ids::Millis;
use olivelatch::protocol::Outcome;
use olivelatch::protocol::workers::read_report;
use olivelatch_worker::Worker;

use super::verbs::{Done, seconds_of, wrong};
use super::{START_MS, STEP_MS, Slot, World};

/// Copies of reports that are kept for the next leader at most.
const MOST_KEPT: usize = 40;

/// What is on its way, with the time when it arrives.
#[derive(Default)]
pub struct Troubles {
    /// Machines whose reports arrive, but nothing that they are told.
    pub deaf: HashSet<String>,
    /// Machines whose reports reach nobody, while direct commands reach them.
    pub mute: HashSet<String>,
    /// After how long copies of reports arrive again, in turn; none: they do not.
    copies: Vec<u64>,
    copied: Vec<(u64, usize, Vec<u8>)>,
    /// Copies of reports are kept for the next leader, and who led when they were.
    next: Option<Option<(usize, u64)>>,
    kept: VecDeque<Vec<u8>>,
    /// How long the cloud takes to answer what it has carried out.
    cloud_ms: u64,
    /// Starts of tasks whose users had been told that their jobs are cancelled.
    pub started_cancelled: u64,
    /// How long the state service takes to answer.
    pub slow_ms: u64,
    /// It takes unlike times, so that an answer to an earlier question may come after one to a later.
    pub uneven: bool,
    /// Answers on their way: when they arrive, at which life of which controller.
    answers: Vec<(u64, usize, u64, Input)>,
    /// Transactions without an answer are carried out so much later.
    pub late_ms: Option<u64>,
    txns: Vec<(u64, Vec<u8>)>,
    /// How long a withdrawn job's task was there at most after its user had been told.
    pub longest_stay: u64,
    /// Tasks that were killed as their worker's lease ended.
    pub lost_with_lease: u64,
    /// When a question about a job was last answered.
    pub known: BTreeMap<String, u64>,
}

/// What a controller makes of time.
#[derive(Default)]
pub struct Pace {
    /// Its steady clock runs fast by this share.
    drift: f64,
    wall_off_ms: i64,
    pub frozen: bool,
    /// What came in while it stood still.
    pub missed: Vec<Input>,
}

/// Machines by name, `all` or `none` of them.
fn name_machines(named: &mut HashSet<String>, workers: &[Worker], words: &[&str]) {
    for host in words {
        match *host {
            "none" => named.clear(),
            "all" => named.extend(workers.iter().map(|worker| worker.machine.name.clone())),
            host => drop(named.insert(host.into())),
        }
    }
}

impl World {
    pub fn longest_stay(&self) -> u64 {
        self.troubles.longest_stay
    }

    pub fn clock(&self, at: usize) -> Clock {
        let pace = &self.nodes[at].pace;
        let gone = (self.now - START_MS) as f64 * (1.0 + pace.drift);
        let wall = 1_700_000_000_000_u64 + self.now;
        Clock { now: Millis(START_MS + gone as u64), wall_ms: wall.saturating_add_signed(pace.wall_off_ms) }
    }

    /// An answer of the state service, at once or after its time.
    pub fn state_answers(&mut self, at: usize, ask: AskId, outcome: Outcome, timeout_ms: u64) {
        // Now and then a few hundred milliseconds, otherwise at once.
        let now_and_then = match (ask.0 * 7 + at as u64 * 3) % 11 {
            0 => 300,
            4 => 900,
            8 => 150,
            _ => STEP_MS,
        };
        let slow = if self.troubles.uneven { now_and_then } else { self.troubles.slow_ms };
        if slow == 0 {
            return self.tell(at, Input::State { ask, outcome });
        }
        let outcome = if slow < timeout_ms { outcome } else { Outcome::Unknown };
        let due = self.now + slow.min(timeout_ms);
        let life = self.nodes[at].life;
        self.troubles.answers.push((due, at, life, Input::State { ask, outcome }));
    }

    /// The cloud has carried a request out; its answer comes at once or after its time.
    pub fn cloud_answers(&mut self, at: usize, ask: AskId, outcome: Outcome, timeout_ms: u64) {
        let late = self.troubles.cloud_ms;
        if late == 0 {
            return self.tell(at, Input::Cloud { ask, outcome });
        }
        let outcome = if late < timeout_ms { outcome } else { Outcome::Unknown };
        let due = self.now + late.min(timeout_ms);
        self.troubles.answers.push((due, at, self.nodes[at].life, Input::Cloud { ask, outcome }));
    }

    /// A transaction that is carried out later, without an answer.
    pub fn txn_later(&mut self, late_ms: u64, body: Vec<u8>) {
        self.troubles.txns.push((self.now + late_ms, body));
    }

    pub fn copy_report(&mut self, node: usize, body: &[u8]) {
        if self.troubles.next.is_some() {
            if self.troubles.kept.len() >= MOST_KEPT {
                self.troubles.kept.pop_front();
            }
            self.troubles.kept.push_back(body.to_vec());
        }
        let delays = &self.troubles.copies;
        if let Some(delay) = delays.get(self.next_call as usize % delays.len().max(1)) {
            self.troubles.copied.push((self.now + delay, node, body.to_vec()));
        }
    }

    /// Another leader begins: what was kept arrives at every controller, at once and once more later.
    pub fn copies_for_next(&mut self) {
        let Some(before) = self.troubles.next else { return };
        let leads = self.nodes.iter().position(Slot::leads).map(|at| (at, self.nodes[at].life));
        if leads.is_none() || leads == before {
            return;
        }
        self.troubles.next = Some(leads);
        if before.is_none() {
            return;
        }
        let now = self.now;
        for body in std::mem::take(&mut self.troubles.kept) {
            for (node, later) in (0..self.nodes.len()).flat_map(|at| [(at, 0), (at, 100), (at, 3_000)]) {
                self.troubles.copied.push((now + later, node, body.clone()));
            }
        }
    }

    /// What has been on its way for long enough arrives.
    pub fn arrivals(&mut self) {
        let now = self.now;
        let txns = std::mem::take(&mut self.troubles.txns);
        let (due, rest): (Vec<_>, Vec<_>) = txns.into_iter().partition(|(at, _)| *at <= now);
        self.troubles.txns = rest;
        if !self.outage {
            due.into_iter().for_each(|(_, body)| drop(self.state.call("POST", "/txn", &body, now)));
        }
        let answers = std::mem::take(&mut self.troubles.answers);
        let (due, rest): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.troubles.answers = rest;
        for (_, at, life, answer) in due {
            if self.nodes[at].life == life {
                self.tell(at, answer);
            }
        }
        let copied = std::mem::take(&mut self.troubles.copied);
        let (due, rest): (Vec<_>, Vec<_>) = copied.into_iter().partition(|(at, ..)| *at <= now);
        self.troubles.copied = rest;
        for (_, node, body) in due {
            let report = read_report(&body).expect("a report of the protocol's form");
            self.next_call += 1;
            // Nobody waits for the answer.
            self.tell(node, Input::Report { call: CallId(self.next_call), report });
        }
    }

    pub fn set_deaf(&mut self, words: &[&str]) -> Done {
        let workers = &self.workers;
        name_machines(&mut self.troubles.deaf, workers, words);
        Ok(())
    }

    pub fn set_mute(&mut self, words: &[&str]) -> Done {
        let workers = &self.workers;
        name_machines(&mut self.troubles.mute, workers, words);
        Ok(())
    }

    pub fn set_cloud_answers(&mut self, words: &[&str]) -> Done {
        self.troubles.cloud_ms = match words {
            ["late", seconds] => (seconds_of(seconds)? * 1000.0) as u64,
            ["fine"] => 0,
            _ => return wrong("late SECONDS or fine"),
        };
        Ok(())
    }

    pub fn set_copies(&mut self, words: &[&str]) -> Done {
        let leads = self.nodes.iter().position(Slot::leads).map(|at| (at, self.nodes[at].life));
        self.troubles.next = if words == ["next"] { Some(leads) } else { None };
        if words == ["next"] {
            return Ok(());
        }
        self.troubles.kept.clear();
        let delays: Result<Vec<f64>, String> =
            words.iter().filter(|word| **word != "none").map(|word| seconds_of(word)).collect();
        self.troubles.copies = delays?.into_iter().map(|seconds| (seconds * 1000.0) as u64).collect();
        Ok(())
    }

    pub fn set_state(&mut self, words: &[&str]) -> Done {
        self.troubles.uneven = words == ["uneven"];
        self.troubles.slow_ms = match words {
            ["slow", seconds] => (seconds_of(seconds)? * 1000.0) as u64,
            ["fine" | "uneven"] => 0,
            _ => return wrong("slow SECONDS, uneven or fine"),
        };
        Ok(())
    }

    /// The controller stands still while its clocks run on.
    pub fn freeze(&mut self, words: &[&str]) -> Done {
        let [node] = words else { return wrong("NODE") };
        let Some(at) = self.node_if_any(node).filter(|at| self.nodes[*at].node.is_some()) else {
            return Ok(());
        };
        self.nodes[at].pace.frozen = true;
        Ok(())
    }

    /// It goes on with all that has come in meanwhile; who had sent that may have given up.
    pub fn thaw(&mut self, _: &[&str]) -> Done {
        for at in 0..self.nodes.len() {
            self.nodes[at].pace.frozen = false;
            for input in std::mem::take(&mut self.nodes[at].pace.missed) {
                self.tell(at, input);
            }
        }
        Ok(())
    }

    /// Its clocks run apart from the others': steady clock in parts of a million, time of day in milliseconds.
    pub fn set_clock(&mut self, words: &[&str]) -> Done {
        let [node, ppm, wall] = words else { return wrong("NODE PPM MILLISECONDS") };
        let at = self.node(node);
        let pace = &mut self.nodes[at].pace;
        pace.drift = ppm.parse::<f64>().map_err(|_| "a number")? / 1e6;
        pace.wall_off_ms = wall.parse().map_err(|_| "a number")?;
        Ok(())
    }
}
