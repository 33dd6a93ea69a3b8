//! Our own calls: to the state service, the cloud and the workers.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use super::{Common, Keyed};
use crate::coordination::{AskId, Input};
use crate::ids::Millis;
use crate::protocol::{Call, Outcome};
use olivelatch_net::http::{Parsed, parse_response, write_request};
use olivelatch_net::stream::{Flow, Stream};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Target {
    State,
    Cloud,
    Worker(SocketAddr),
}

/// Connections to one target at once. The state service gets enough that a
/// renewal does not wait behind a transaction.
fn most_connections(target: Target) -> usize {
    match target {
        Target::State => 6,
        Target::Cloud => 2,
        Target::Worker(_) => 1,
    }
}

const IDLE_MS: u64 = 20_000;
/// Idle connections are looked for that often, as there are hundreds of them.
const CHECK_EVERY_MS: u64 = 1_000;
/// The part of the settings' memory that one answer may take: it is held three times while
/// it is read. Pages of the state service and the cloud's lists are far smaller.
const ANSWER_SHARE: f64 = 0.1;
/// Idle connections that give way at once when sockets run short.
const GIVE_WAY: usize = 64;
/// Room for an answer's head and chunks.
const HEAD_ROOM: usize = 1024 * 1024;

struct Client {
    stream: Stream,
    target: Target,
    ask: Option<AskId>,
    active: Millis,
}

#[derive(Default)]
struct Pool {
    idle: Vec<usize>,
    open: usize,
    queue: VecDeque<(AskId, Call)>,
}

pub struct Clients {
    open: Keyed<Client>,
    pools: HashMap<Target, Pool>,
    asks: HashMap<AskId, (Target, Option<usize>)>,
    deadlines: BTreeSet<(Millis, AskId)>,
    checked: Millis,
    state: SocketAddr,
    cloud: SocketAddr,
    most_answer: usize,
    /// Sockets that the whole process may have, and has beside these.
    most: usize,
    pub others: usize,
}

impl Clients {
    /// On a machine with so much memory, in a process with `most` sockets.
    pub fn new(state: SocketAddr, cloud: SocketAddr, mem_mb: f64, most: usize) -> Clients {
        Clients {
            most,
            others: 0,
            open: HashMap::new(),
            pools: HashMap::new(),
            asks: HashMap::new(),
            deadlines: BTreeSet::new(),
            checked: Millis::default(),
            state,
            cloud,
            most_answer: ((mem_mb * ANSWER_SHARE) as usize).max(1) * 1024 * 1024,
        }
    }

    pub fn has(&self, key: usize) -> bool {
        self.open.contains_key(&key)
    }

    pub fn is_worker(&self, key: usize) -> bool {
        self.open.get(&key).is_some_and(|client| matches!(client.target, Target::Worker(_)))
    }

    pub fn ask_state(&mut self, common: &mut Common, ask: AskId, call: Call, timeout_ms: u64) {
        self.ask(common, Target::State, ask, call, timeout_ms);
    }

    pub fn ask_cloud(&mut self, common: &mut Common, ask: AskId, call: Call, timeout_ms: u64) {
        self.ask(common, Target::Cloud, ask, call, timeout_ms);
    }

    pub fn ask_worker(
        &mut self,
        common: &mut Common,
        ask: AskId,
        endpoint: &str,
        call: Call,
        timeout_ms: u64,
    ) {
        match endpoint.parse() {
            Ok(addr) => self.ask(common, Target::Worker(addr), ask, call, timeout_ms),
            Err(_) => common.inputs.push_back(outcome(Target::Worker(self.cloud), ask, Outcome::NotSent)),
        }
    }

    fn ask(&mut self, common: &mut Common, target: Target, ask: AskId, call: Call, timeout_ms: u64) {
        self.deadlines.insert((common.now().plus(timeout_ms), ask));
        self.asks.insert(ask, (target, None));
        self.pools.entry(target).or_default().queue.push_back((ask, call));
        self.advance(common, target);
    }

    fn addr(&self, target: Target) -> SocketAddr {
        match target {
            Target::State => self.state,
            Target::Cloud => self.cloud,
            Target::Worker(addr) => addr,
        }
    }

    /// No socket is left in the process.
    pub fn short(&self) -> bool {
        self.open.len() + self.others >= self.most
    }

    /// Connections to workers that wait for their next call give way, the longest idle first. A new leader greets every
    /// machine while all of them report to it: with half as many again there were not sockets for both, and users were
    /// refused.
    pub fn give_way(&mut self, common: &mut Common) {
        let idle = |client: &Client| client.ask.is_none() && matches!(client.target, Target::Worker(_));
        let idle = self.open.iter().filter(|(_, client)| idle(client));
        let mut idle: Vec<(Millis, usize)> = idle.map(|(key, client)| (client.active, *key)).collect();
        idle.sort_unstable();
        for (_, key) in idle.into_iter().take(GIVE_WAY) {
            self.close(common, key);
        }
    }

    /// Hands waiting calls to idle or new connections.
    fn advance(&mut self, common: &mut Common, target: Target) {
        let worker = matches!(target, Target::Worker(_));
        if worker && self.short() && self.pools.get(&target).is_some_and(|pool| pool.open == 0) {
            self.give_way(common);
        }
        // The state service and the cloud have theirs whatever happens.
        let short = worker && self.short();
        loop {
            let addr = self.addr(target);
            let Some(pool) = self.pools.get_mut(&target) else {
                return;
            };
            let Some((ask, call)) = pool.queue.pop_front() else {
                return;
            };
            if !self.asks.contains_key(&ask) {
                continue;
            }
            let key = match pool.idle.pop() {
                Some(key) => key,
                None if short && pool.open == 0 => {
                    self.finish(common, ask, Outcome::NotSent);
                    continue;
                }
                None if pool.open < most_connections(target) => {
                    let key = common.key();
                    match Stream::connect(&common.gate, addr, key) {
                        Ok(stream) => {
                            pool.open += 1;
                            let client = Client { stream, target, ask: None, active: common.now() };
                            self.open.insert(key, client);
                            key
                        }
                        Err(_) => {
                            self.finish(common, ask, Outcome::NotSent);
                            continue;
                        }
                    }
                }
                None => {
                    pool.queue.push_front((ask, call));
                    return;
                }
            };
            self.start(common, key, ask, &call, addr);
        }
    }

    fn start(&mut self, common: &mut Common, key: usize, ask: AskId, call: &Call, addr: SocketAddr) {
        let Some(client) = self.open.get_mut(&key) else {
            return;
        };
        let mut bytes = Vec::with_capacity(call.body.len() + 200);
        write_request(&mut bytes, call.method, &call.path, &addr.to_string(), &call.body);
        client.stream.queue(&bytes);
        client.ask = Some(ask);
        if let Some(entry) = self.asks.get_mut(&ask) {
            entry.1 = Some(key);
        }
        if !client.stream.connecting {
            self.push(common, key);
        }
    }

    fn push(&mut self, common: &mut Common, key: usize) {
        let Some(client) = self.open.get_mut(&key) else {
            return;
        };
        if client.stream.flush() == Flow::Closed || client.stream.rearm(true) == Flow::Closed {
            self.close(common, key);
        }
    }

    pub fn event(&mut self, common: &mut Common, key: usize) {
        let Some(client) = self.open.get_mut(&key) else {
            return;
        };
        client.active = common.now();
        let target = client.target;
        if client.stream.connecting {
            self.push(common, key);
            return;
        }
        let read = client.stream.fill(self.most_answer + HEAD_ROOM);
        match parse_response(&client.stream.input, self.most_answer) {
            Parsed::Whole(response, taken) if client.ask.is_some() => {
                client.stream.take_input(taken);
                let ask = client.ask.take();
                let keep = response.keep_alive && read == Flow::Open && client.stream.input.is_empty();
                if let Some(ask) = ask {
                    let outcome = Outcome::Response { status: response.status, body: response.body };
                    self.finish(common, ask, outcome);
                }
                if keep {
                    self.pools.entry(target).or_default().idle.push(key);
                    self.push(common, key);
                } else {
                    self.close(common, key);
                }
                self.advance(common, target);
            }
            Parsed::Partial if read == Flow::Open => self.push(common, key),
            Parsed::TooLong => {
                let ask = client.ask.take();
                if let Some(ask) = ask {
                    self.finish(common, ask, Outcome::TooLong);
                }
                self.close(common, key);
            }
            // Closed, garbage, or an answer to nothing.
            _ => self.close(common, key),
        }
    }

    fn close(&mut self, common: &mut Common, key: usize) {
        let Some(client) = self.open.remove(&key) else {
            return;
        };
        let pool = self.pools.entry(client.target).or_default();
        pool.open = pool.open.saturating_sub(1);
        pool.idle.retain(|idle| *idle != key);
        if let Some(ask) = client.ask {
            // A connection that was given up before it stood never completes later.
            let lost = if client.stream.connecting { Outcome::NotSent } else { Outcome::Unknown };
            self.finish(common, ask, lost);
        }
        let target = client.target;
        drop(client);
        self.advance(common, target);
        if let Some(pool) = self.pools.get(&target)
            && pool.open == 0
            && pool.queue.is_empty()
        {
            self.pools.remove(&target);
        }
    }

    fn finish(&mut self, common: &mut Common, ask: AskId, result: Outcome) {
        if let Some((target, _)) = self.asks.remove(&ask) {
            common.inputs.push_back(outcome(target, ask, result));
        }
    }

    pub fn expire(&mut self, common: &mut Common) {
        let now = common.now();
        while let Some((at, ask)) = self.deadlines.first().copied()
            && at <= now
        {
            self.deadlines.pop_first();
            match self.asks.get(&ask).copied() {
                Some((_, Some(key))) => self.close(common, key),
                Some((_, None)) => self.finish(common, ask, Outcome::NotSent),
                None => {}
            }
        }
        if now.since(self.checked) < CHECK_EVERY_MS {
            return;
        }
        self.checked = now;
        let idle = |client: &Client| client.ask.is_none() && now.since(client.active) > IDLE_MS;
        let stale: Vec<usize> =
            self.open.iter().filter(|(_, client)| idle(client)).map(|(key, _)| *key).collect();
        for key in stale {
            self.close(common, key);
        }
    }
}

fn outcome(target: Target, ask: AskId, outcome: Outcome) -> Input {
    match target {
        Target::State => Input::State { ask, outcome },
        Target::Cloud => Input::Cloud { ask, outcome },
        Target::Worker(_) => Input::Orders { ask, outcome },
    }
}
