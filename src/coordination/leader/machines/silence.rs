//! Machines that are not heard from: when are they certainly empty, and what to do until then.

use crate::coordination::Clock;
use crate::coordination::leader::{Binding, Leader, Life, Machine, Run};
use crate::coordination::leadership::slack_ms;
use crate::ids::{MachineIx, Millis};

/// After a takeover, workers need that long to find the new leader.
const FIND_US_MS: u64 = 6_000;
/// A machine is given up early only if that saves its tasks so much time.
const WORTH_MS: u64 = 5_000;

impl Leader {
    /// Workers that reported to us and should still, and how many of them are overdue.
    pub fn silent_workers(&self, now: Millis) -> (usize, usize) {
        let patience = self.settings.workers.report_ms * 9 / 4 + 500;
        let ours = self.machines.iter().filter(|m| m.life == Life::Up && m.confirmed);
        let waits = ours.filter_map(|m| m.answered).map(|at| now.since(at) > patience);
        waits.fold((0, 0), |(all, silent), over| (all + 1, silent + usize::from(over)))
    }

    /// Spot machines are taken without a word. One that misses several reports, while most
    /// others are heard, is returned: the cloud's answer makes certain at once that nothing
    /// is on it, long before its worker's lease, or after a takeover the hold, has run out.
    pub fn suspect(&mut self, clock: Clock) {
        let report = self.settings.workers.report_ms;
        let (mut up, mut quiet) = (0, Vec::new());
        for (at, machine) in self.machines.iter().enumerate() {
            if machine.life != Life::Up || machine.returning {
                continue;
            }
            up += 1;
            let since = machine.answered.unwrap_or(self.acquired.plus(FIND_US_MS));
            if clock.now.since(since) > 4 * report + 2_000 {
                quiet.push(MachineIx(at as u32));
            }
        }
        // Many at once are a cut or our own trouble, not the cloud.
        if quiet.len() > 2 && quiet.len() * 3 > up {
            return;
        }
        for ix in quiet {
            let empty_at = self.empty_at(&self.machines[ix.at()]);
            let machine = &self.machines[ix.at()];
            let sooner = empty_at.since(clock.now) > WORTH_MS;
            if machine.spot && sooner && !machine.bindings.is_empty() {
                log::info!("machine {} goes back: a spot machine that is silent", machine.name);
                self.send_back(ix);
            }
        }
    }

    /// When a machine that stays silent is certainly empty: a lease after the latest moment at which a lease may have
    /// begun. An answered report begins one, and so does a new session, in which direct commands start tasks although
    /// they renew nothing.
    fn empty_at(&self, machine: &Machine) -> Millis {
        let lease = self.settings.workers.lease_ms;
        let ended = |began: Millis| began.plus(lease + slack_ms(lease));
        let heard = machine.answered.max(machine.shown);
        match heard.max(machine.session_seen) {
            // No other leader's answer to a report sent after it showed our token counts.
            Some(began) if machine.confirmed => ended(began),
            // An earlier leader, or our own first answers, may have kept it alive. Nothing of ours was sent there, and what
            // an earlier leader sent was for a session that it knew: a deaf machine's later ones do not count.
            _ => heard.map_or(self.inherited_until, |heard| ended(heard).max(self.inherited_until)),
        }
    }

    /// A report without our token that is newer than the others: when it was sent, none of our answers so far had been
    /// heard, so that none of them keeps the worker alive. True: it shall get no answer any more. Whatever else kept it
    /// alive has run out after a lease, so that only our own answers would keep us waiting for its tasks.
    pub(super) fn unheard(&mut self, ix: MachineIx, clock: Clock) -> bool {
        let lease = self.settings.workers.lease_ms;
        let machine = &mut self.machines[ix.at()];
        if machine.confirmed {
            return false;
        }
        machine.answered = None;
        let since = *machine.unheard_since.get_or_insert(clock.now);
        let over = clock.now.since(since) >= lease + slack_ms(lease);
        over && !machine.bindings.is_empty()
    }

    /// The machine reports and shows nothing of what it was told with the answer before. True: it is taken for deaf.
    pub(super) fn dropped_answer(&mut self, ix: MachineIx, tick: u64) -> bool {
        let machine = &mut self.machines[ix.at()];
        let lacks = |binding: &Binding| matches!(binding.run, Run::Answered { tick: told } if told < tick);
        if machine.bindings.iter().any(lacks) {
            self.not_heard(ix);
        }
        self.machines[ix.at()].deaf()
    }

    /// What was sent to it has not arrived, or is not known to have.
    pub(super) fn not_heard(&mut self, ix: MachineIx) {
        let machine = &mut self.machines[ix.at()];
        let before = machine.deaf();
        machine.unheard_runs += 1;
        if machine.deaf() && !before {
            let name = machine.name.as_str();
            log::info!(event = "machine_deaf", machine = name; "machine {name} reports but hears nothing");
            self.refresh(ix);
            self.spread_queues(ix);
            self.to_tell.insert(ix);
        }
    }

    /// Machines whose worker's lease has certainly run out: nothing is on them.
    pub fn expire(&mut self, clock: Clock) {
        for at in 0..self.machines.len() {
            let ix = MachineIx(at as u32);
            let machine = &self.machines[at];
            if machine.life != Life::Up || clock.now < self.empty_at(machine) {
                continue;
            }
            let (name, tasks) = (machine.name.as_str(), machine.bindings.len());
            log::info!(event = "machine_lost", machine = name, tasks; "machine {name} lost with {tasks} tasks");
            self.counters.lost_machines += 1;
            let machine = &mut self.machines[at];
            machine.life = Life::Silent;
            machine.held_for = None;
            machine.unheard_since = None;
            machine.idle_since = clock.now;
            self.refresh(ix);
            self.clear_machine(ix, clock);
            self.spread_queues(ix);
        }
    }
}
