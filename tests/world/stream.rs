//! Jobs that come one after the other for minutes: submitted, asked about once a second until their end is known, some of
//! them cancelled.

use std::collections::BTreeMap;

use olivelatch::protocol::users::read_submission;

use super::World;
use super::looks::done_pieces;
use super::verbs::{Done, seconds_of, wrong};

const ASK_EVERY_MS: u64 = 1_000;
const CANCEL_AFTER_MS: u64 = 2_000;

pub struct Stream {
    next: u64,
    last: u64,
    every_ms: u64,
    due: u64,
    cancel_every: u64,
    words: Vec<String>,
    /// Jobs whose end is not known yet: when they came, when they are next asked about.
    open: BTreeMap<String, (u64, u64)>,
    /// When the last task of each of them ended.
    ended: BTreeMap<String, u64>,
    /// The longest time from there until a user was told.
    pub latest: u64,
}

impl Stream {
    pub fn over(&self) -> bool {
        self.next > self.last && self.open.is_empty()
    }
}

impl World {
    pub fn set_stream(&mut self, words: &[&str]) -> Done {
        let [first, count, every, cancel, rest @ ..] = words else {
            return wrong("FIRST COUNT SECONDS CANCEL-EVERY and what each job is");
        };
        let number = |text: &str| text.parse::<u64>().map_err(|_| format!("expected a number, not {text}"));
        let first = number(first)?;
        self.stream = Some(Stream {
            next: first,
            last: first + number(count)? - 1,
            every_ms: (seconds_of(every)? * 1000.0) as u64,
            due: self.now,
            cancel_every: number(cancel)?,
            words: rest.iter().map(|word| (*word).to_string()).collect(),
            open: BTreeMap::new(),
            ended: BTreeMap::new(),
            latest: 0,
        });
        Ok(())
    }

    pub fn step_stream(&mut self) {
        let Some(mut stream) = self.stream.take() else { return };
        let now = self.now;
        while stream.due <= now && stream.next <= stream.last {
            let number = stream.next.to_string();
            let words: Vec<&str> =
                std::iter::once(number.as_str()).chain(stream.words.iter().map(String::as_str)).collect();
            let (id, spec, _) = self.describe(&words);
            let request = read_submission(spec.to_string().as_bytes()).expect("a submission");
            self.ask(request, &id, None, false);
            if stream.cancel_every > 0 && stream.next % stream.cancel_every == 0 {
                self.aborts.insert(id.clone(), now + CANCEL_AFTER_MS);
            }
            stream.open.insert(id, (now, now + ASK_EVERY_MS));
            stream.next += 1;
            stream.due += stream.every_ms;
        }
        for piece in done_pieces(&self.workers) {
            if stream.open.contains_key(piece.job()) && !stream.ended.contains_key(piece.job()) {
                stream.ended.insert(piece.job().into(), now);
            }
        }
        let (told, open): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut stream.open)
            .into_iter()
            .partition(|(id, _)| self.final_states.contains_key(id));
        for id in told.keys() {
            let late = stream.ended.remove(id).map_or(0, |ended| now - ended);
            stream.latest = stream.latest.max(late);
        }
        stream.open = open;
        let due: Vec<String> =
            stream.open.iter().filter(|(_, (_, due))| *due <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            if let Some((_, next)) = stream.open.get_mut(&id) {
                *next = now + ASK_EVERY_MS;
            }
            if self.accepted.contains(&id) {
                self.poll(&id);
            }
        }
        self.stream = Some(stream);
    }
}
