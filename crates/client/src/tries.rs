//! Which controller is asked next, and when: one deadline for all tries.

use rand::RngExt;
use rand::rngs::SmallRng;

/// After a cut, the same controller is left alone so long, doubled by each further one, up to the second.
const FIRST_PAUSE_MS: u64 = 100;
const LONGEST_PAUSE_MS: u64 = 2_000;
/// A refusal that does not say when to come back.
const REFUSED_PAUSE_MS: u64 = 1_000;

/// What became of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answer {
        status: u16,
        retry_after_s: Option<u32>,
    },
    /// Refused connection, cut, or no answer in time: it may have been carried out.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The answer is final.
    Done,
    /// Ask this controller, after so many milliseconds.
    Ask {
        controller: usize,
        wait_ms: u64,
    },
    GiveUp,
}

#[derive(Debug)]
struct Controller {
    not_before: u64,
    pause_ms: u64,
}

/// One request on its way. Times are milliseconds since it began.
#[derive(Debug)]
pub struct Tries {
    controllers: Vec<Controller>,
    at: usize,
    deadline_ms: u64,
}

/// Is there any use in asking again?
fn is_final(status: u16) -> bool {
    !matches!(status, 429 | 500..)
}

impl Tries {
    /// Begins with controller `first`; asks none after the deadline.
    pub fn new(controllers: usize, first: usize, deadline_ms: u64) -> Tries {
        let all = (0..controllers).map(|_| Controller { not_before: 0, pause_ms: FIRST_PAUSE_MS });
        Tries { controllers: all.collect(), at: first % controllers.max(1), deadline_ms }
    }

    pub fn first(&self) -> Next {
        if self.controllers.is_empty() { Next::GiveUp } else { Next::Ask { controller: self.at, wait_ms: 0 } }
    }

    /// What follows from the outcome of the last try, now.
    pub fn next(&mut self, now_ms: u64, outcome: Outcome, rng: &mut SmallRng) -> Next {
        let Some(last) = self.controllers.get_mut(self.at) else { return Next::GiveUp };
        last.not_before = now_ms
            + match outcome {
                Outcome::Answer { status, .. } if is_final(status) => return Next::Done,
                Outcome::Answer { retry_after_s: Some(seconds), .. } => u64::from(seconds) * 1000,
                Outcome::Answer { .. } => REFUSED_PAUSE_MS,
                Outcome::Lost => {
                    let pause = last.pause_ms;
                    last.pause_ms = (pause * 2).min(LONGEST_PAUSE_MS);
                    // Clients that were cut off together do not come back together.
                    pause / 2 + rng.random_range(0..=pause / 2)
                }
            };
        let count = self.controllers.len();
        let after = |at: &usize| (*at + count - self.at - 1) % count;
        let soonest = (0..count).min_by_key(|at| (self.controllers[*at].not_before.max(now_ms), after(at)));
        let Some(controller) = soonest else { return Next::GiveUp };
        let wait_ms = self.controllers[controller].not_before.saturating_sub(now_ms);
        if now_ms + wait_ms >= self.deadline_ms {
            return Next::GiveUp;
        }
        self.at = controller;
        Next::Ask { controller, wait_ms }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    const LATER: Outcome = Outcome::Answer { status: 503, retry_after_s: Some(2) };

    /// Others are asked at once, each is left alone as long as it asked for, and the deadline holds for all.
    #[test]
    fn retry_after_is_honoured_for_each_and_the_deadline_for_all() {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut tries = Tries::new(3, 1, 5_000);
        assert_eq!(tries.first(), Next::Ask { controller: 1, wait_ms: 0 });
        assert_eq!(tries.next(10, LATER, &mut rng), Next::Ask { controller: 2, wait_ms: 0 });
        assert_eq!(tries.next(20, LATER, &mut rng), Next::Ask { controller: 0, wait_ms: 0 });
        assert_eq!(tries.next(30, LATER, &mut rng), Next::Ask { controller: 1, wait_ms: 1_980 });
        assert_eq!(tries.next(2_010, LATER, &mut rng), Next::Ask { controller: 2, wait_ms: 10 });
        assert_eq!(tries.next(2_020, LATER, &mut rng), Next::Ask { controller: 0, wait_ms: 10 });
        assert_eq!(tries.next(2_030, LATER, &mut rng), Next::Ask { controller: 1, wait_ms: 1_980 });
        assert_eq!(tries.next(4_010, LATER, &mut rng), Next::Ask { controller: 2, wait_ms: 10 });
        assert_eq!(tries.next(4_020, LATER, &mut rng), Next::Ask { controller: 0, wait_ms: 10 });
        assert_eq!(
            tries.next(4_030, LATER, &mut rng),
            Next::GiveUp,
            "each may be asked again only after the deadline"
        );
    }

    #[test]
    fn cuts_back_off_and_final_answers_end_it() {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut tries = Tries::new(1, 0, 60_000);
        let (mut now, mut waits) = (0, Vec::new());
        while let Next::Ask { wait_ms, .. } = tries.next(now, Outcome::Lost, &mut rng) {
            waits.push(wait_ms);
            now += wait_ms.max(1);
        }
        assert!(waits.len() < 60, "a minute of cuts is no storm: {}", waits.len());
        assert!(waits[0] <= 100 && waits.iter().all(|wait| *wait <= LONGEST_PAUSE_MS));
        for status in [200, 201, 400, 404, 409, 422] {
            let answer = Outcome::Answer { status, retry_after_s: None };
            assert_eq!(Tries::new(2, 0, 1_000).next(0, answer, &mut rng), Next::Done);
        }
        assert_eq!(Tries::new(0, 0, 1_000).first(), Next::GiveUp);
    }
}
