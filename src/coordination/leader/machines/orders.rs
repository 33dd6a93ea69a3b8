//! Commands to workers: in the response to a report, or straight to the worker.

use olivelatch_admission::pressure::Level;

use crate::coordination::Clock;
use crate::coordination::leader::{Leader, Life, Run};
use crate::ids::{Attempt, MachineIx, Session, TaskRef};
use crate::protocol::workers::Order;

/// A halt is repeated after this while its task is still shown.
const HALT_AGAIN_MS: u64 = 1500;
/// After a direct command failed, the worker's own reports are waited for.
const DIRECT_PAUSE_MS: u64 = 3000;
/// Machines greeted by one step of a new leader.
const GREETINGS: u64 = 16;
/// And of one that is behind its events.
const GREETINGS_BEHIND: u64 = 1;
/// Most commands in one message.
const MOST_ORDERS: usize = 400;

/// A direct message to a worker, and the runs that go with it.
#[derive(Debug)]
pub struct Direct {
    pub machine: MachineIx,
    /// The session it is meant for; 0 if that is not known yet.
    pub session: Session,
    pub runs: Vec<(TaskRef, Attempt)>,
    pub orders: Vec<Order>,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectOutcome {
    Executed,
    /// Nothing was executed and nothing will be.
    Refused,
    /// It may have been, or may be minutes later.
    Unknown,
}

impl Leader {
    /// The commands a machine should get now. `tick`: that of the report being answered,
    /// None for a direct message.
    pub fn orders(&mut self, ix: MachineIx, clock: Clock, tick: Option<u64>, may_run: bool) -> Vec<Order> {
        let machine = &mut self.machines[ix.at()];
        let mut orders = Vec::new();
        for binding in &mut machine.bindings {
            if orders.len() >= MOST_ORDERS {
                break;
            }
            let (task, attempt) = (binding.task, binding.attempt);
            if let Some(grace_ms) = binding.halt {
                let due = binding.halt_sent.is_none_or(|at| clock.now.since(at) >= HALT_AGAIN_MS);
                let saving =
                    binding.state == Some(crate::protocol::workers::TaskState::Saving) && grace_ms > 0;
                if due && !saving {
                    binding.halt_sent = Some(clock.now);
                    orders.push(Order::Halt { task, attempt, grace_ms });
                }
                continue;
            }
            if binding.run == Run::Recorded && may_run {
                binding.run = match tick {
                    Some(tick) => Run::Answered { tick },
                    None => Run::Direct,
                };
                orders.push(Order::Run { task, attempt });
            }
        }
        orders
    }

    /// Machines that have something to hear, each at most one message at a time.
    pub fn direct(&mut self, clock: Clock, may_run: bool) -> Vec<Direct> {
        let mut messages = Vec::new();
        let mut greetings = 0;
        let most_greetings = if self.pressure > Level::Calm { GREETINGS_BEHIND } else { GREETINGS };
        for ix in std::mem::take(&mut self.to_tell) {
            let machine = &self.machines[ix.at()];
            if machine.life != Life::Up || machine.direct_open || clock.now < machine.direct_after {
                if machine.deaf() && machine.life == Life::Up {
                    self.to_tell.insert(ix);
                }
                continue;
            }
            // One that is deaf is greeted again and again, so that it is known when it hears.
            let greeting = !machine.confirmed || machine.deaf();
            if greeting && machine.session.0 == 0 && machine.endpoint.is_empty() {
                continue;
            }
            // Starts go with the answer to its next report, which costs no connection.
            let urgent = greeting || machine.bindings.iter().any(|binding| binding.halt.is_some());
            if self.pressure > Level::Calm && !urgent {
                continue;
            }
            // All at once they would hold up renewals and reports; who reports first needs none.
            if greeting && greetings >= most_greetings {
                self.to_tell.insert(ix);
                continue;
            }
            greetings += u64::from(greeting);
            let orders = if greeting { Vec::new() } else { self.orders(ix, clock, None, may_run) };
            if orders.is_empty() && !greeting {
                continue;
            }
            let runs = orders
                .iter()
                .filter_map(|order| match order {
                    Order::Run { task, attempt } => Some((*task, *attempt)),
                    _ => None,
                })
                .collect();
            let machine = &mut self.machines[ix.at()];
            machine.direct_open = true;
            messages.push(Direct { machine: ix, session: machine.session, runs, orders });
        }
        self.counters.greeted += greetings;
        self.counters.greeted_at_once = self.counters.greeted_at_once.max(greetings);
        messages
    }

    pub fn direct_outcome(&mut self, direct: &Direct, outcome: DirectOutcome, clock: Clock) {
        let machine = &mut self.machines[direct.machine.at()];
        machine.direct_open = false;
        if outcome == DirectOutcome::Refused && machine.session > direct.session {
            // A worker takes no notice of a token that comes with another session than its
            // own, which no record tells: its refusal did.
            self.to_tell.insert(direct.machine);
        } else if outcome != DirectOutcome::Executed {
            machine.direct_after = clock.now.plus(DIRECT_PAUSE_MS);
        }
        let heard = outcome == DirectOutcome::Executed;
        if heard {
            machine.unheard_runs = 0;
        }
        for binding in &mut machine.bindings {
            if !direct.runs.contains(&(binding.task, binding.attempt)) || binding.run != Run::Direct {
                continue;
            }
            match outcome {
                DirectOutcome::Executed => binding.run = Run::Seen,
                DirectOutcome::Refused => binding.run = Run::Recorded,
                DirectOutcome::Unknown => {
                    // Sent again with the next response, which settles it; until then it
                    // stays bound to this machine and session.
                    binding.run = Run::Recorded;
                    binding.late = true;
                }
            }
        }
        if outcome == DirectOutcome::Unknown {
            // Also those that were seen to exit meanwhile: a late copy must find them there.
            machine.late.extend(direct.runs.iter().copied());
        }
        let machine = &self.machines[direct.machine.at()];
        if heard {
            self.refresh(direct.machine);
        } else if machine.deaf() {
            self.to_tell.insert(direct.machine);
        } else if outcome == DirectOutcome::Unknown && machine.life == Life::Up && !direct.runs.is_empty() {
            self.not_heard(direct.machine);
        }
    }
}
