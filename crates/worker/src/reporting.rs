//! When a worker reports, to which controller, and what it does with the answer. Times are milliseconds of a steady clock.

use serde_json::Value;

use crate::core::Worker;
use crate::describe::Descriptions;

/// The protocol's times of reports.
#[derive(Debug, Clone, Copy)]
pub struct ReportTimes {
    /// Between reports without a change.
    pub every_ms: u64,
    /// Least time between a report and one that a change asks for.
    pub change_ms: u64,
    /// Before the next controller is tried after one that did not take the report.
    pub retry_ms: u64,
    /// A controller answers a report within this, or another one is asked.
    pub patience_ms: u64,
}

/// A report that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct Open {
    sent: u64,
    session: u64,
}

/// What came of a report: status 0 if no answer came.
#[derive(Debug, Clone, Copy)]
pub struct ReportAnswer<'a> {
    pub status: u16,
    pub body: &'a Value,
}

/// One worker's reports: one in flight at a time, to one controller at a time.
#[derive(Debug)]
pub struct Reporter {
    /// The controller reported to, by its place in the list.
    controller: usize,
    next: u64,
    open: Option<Open>,
}

impl Reporter {
    /// Starts at this controller, with a first report at `now`.
    pub fn new(controller: usize, now: u64) -> Reporter {
        Reporter { controller, next: now, open: None }
    }

    /// The controller reported to, of so many.
    pub fn controller(&self, controllers: usize) -> usize {
        self.controller % controllers.max(1)
    }

    /// Is a report due?
    pub fn due(&self, worker: &Worker, now: u64, times: ReportTimes) -> bool {
        let after_change = worker.changed && now + times.every_ms >= self.next + times.change_ms;
        self.open.is_none() && (now >= self.next || after_change)
    }

    /// The report that goes out now. `jitter_ms` prolongs the time to the next one.
    pub fn send(&mut self, worker: &mut Worker, now: u64, times: ReportTimes, jitter_ms: u64) -> Value {
        worker.changed = false;
        let body = worker.report(now);
        self.open = Some(Open { sent: now, session: worker.session });
        self.next = now + times.every_ms + jitter_ms;
        body
    }

    /// The answer, or none; `place` tells a controller's place in the list by its name.
    pub fn answered(
        &mut self,
        worker: &mut Worker,
        answer: ReportAnswer<'_>,
        now: u64,
        times: ReportTimes,
        jobs: &Descriptions,
        place: impl Fn(&str) -> Option<usize>,
    ) {
        let Some(open) = self.open.take() else { return };
        let ReportAnswer { status, body } = answer;
        if status == 200 {
            // An answer to a report of an earlier session is dropped.
            if worker.session == open.session {
                worker.answer(body, open.sent, now, jobs);
            }
            return;
        }
        let named = body["home"].as_str().filter(|_| status == 421).and_then(place);
        match named.filter(|named| *named != self.controller) {
            Some(named) => {
                self.controller = named;
                self.next = now;
            }
            None => {
                self.controller += 1;
                self.next = now + times.retry_ms;
            }
        }
    }
}
