//! Changes of configuration: operators that set, repeat and watch them, and the limit that must hold at every moment.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch::coordination::Input;
use olivelatch::coordination::node::Node;
use olivelatch::protocol::Answer;
use olivelatch::protocol::config::{ChangeRequest, ConfigRequest, EntryName, EntryView, TeamValue};

use super::verbs::{Done, wrong};
use super::{Call, World, number, word};

const AGAIN_MS: u64 = 300;

/// A change that an operator has asked for.
struct Sent {
    entry: EntryName,
    change: ChangeRequest,
    /// Asked of this controller only.
    via: Option<String>,
    asked_at: u64,
    next: Option<u64>,
    /// The final answer's status.
    status: Option<u16>,
    version: Option<u64>,
    in_force_at: Option<u64>,
    /// As it was last shown.
    view: Option<EntryView>,
}

/// A limit that was shown to be in force.
#[derive(Clone, Copy)]
struct InForce {
    version: u64,
    limit_cpus: f64,
}

#[derive(Default)]
pub struct Changes {
    pub enabled: bool,
    /// Controllers whose configuration is off, as if of an earlier version.
    pub off: BTreeSet<String>,
    sent: BTreeMap<String, Sent>,
    in_force: BTreeMap<String, InForce>,
    /// CPUs of each team at each leading node when that was last looked at, with its process's number.
    used: BTreeMap<(usize, u32, String), f64>,
}

impl Changes {
    /// The most that a team may start up to: by what is in force, or by a later change that may be acted by already.
    fn allowed(&self, team: &str) -> Option<f64> {
        let holds = self.in_force.get(team)?;
        let later = self.sent.values().filter(|sent| {
            let may_hold = sent.status.is_none_or(|status| status == 200);
            let newer = sent.version.is_none_or(|version| version > holds.version);
            sent.entry.team() == team && may_hold && newer
        });
        let later = later.map(|sent| sent.change.value.limit_cpus.unwrap_or(f64::INFINITY));
        Some(later.fold(holds.limit_cpus, f64::max))
    }
}

impl World {
    /// Turns the configuration on, but not at the controllers named.
    pub fn config_on(&mut self, words: &[&str]) -> Done {
        self.changes_of_config.enabled = true;
        self.changes_of_config.off = words.iter().map(|word| (*word).to_string()).collect();
        Ok(())
    }

    /// NAME TEAM [limit=] [guaranteed=] [expected=] [via=NODE]: without values, what was set is taken back.
    pub fn set_config(&mut self, words: &[&str]) -> Done {
        let [name, team, rest @ ..] = words else {
            return wrong("NAME TEAM [limit=] [guaranteed=] [expected=]");
        };
        let entry = EntryName::parse(&format!("team/{team}")).map_err(|error| error.to_string())?;
        let cpus = |field| word(rest, field).map(|_| number(rest, field, 0.0));
        let change = ChangeRequest {
            value: TeamValue { limit_cpus: cpus("limit"), guaranteed_cpus: cpus("guaranteed") },
            expected: word(rest, "expected").and_then(|text| text.parse().ok()),
            by: "operator".into(),
            why: String::new(),
            change: (*name).into(),
        };
        let sent = Sent {
            entry,
            change,
            via: word(rest, "via").map(String::from),
            asked_at: self.now,
            next: Some(self.now),
            status: None,
            version: None,
            in_force_at: None,
            view: None,
        };
        self.changes_of_config.sent.insert((*name).into(), sent);
        Ok(())
    }

    pub fn step_config(&mut self) {
        if !self.changes_of_config.enabled {
            return;
        }
        let due = |sent: &Sent| sent.next.is_some_and(|next| next <= self.now);
        let due: Vec<String> = self
            .changes_of_config
            .sent
            .iter()
            .filter(|(_, s)| due(s))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.ask_config(&name);
        }
        self.judge_limits();
    }

    fn ask_config(&mut self, name: &str) {
        let Some(sent) = self.changes_of_config.sent.get(name) else { return };
        let via = sent.via.clone();
        let request = match sent.version {
            Some(version) => ConfigRequest::Get { entry: sent.entry.clone(), version: Some(version) },
            None => ConfigRequest::Set { entry: sent.entry.clone(), change: sent.change.clone() },
        };
        let serves = |world: &World, at: usize| {
            let slot = &world.nodes[at];
            let asked = via.as_ref().is_none_or(|via| *via == slot.name);
            let serves = slot.node.as_ref().is_some_and(Node::serves_config);
            asked && serves && !world.cut(at, "users") && !slot.pace.frozen
        };
        let at = self.pick(serves);
        let now = self.now;
        if let Some(sent) = self.changes_of_config.sent.get_mut(name) {
            sent.next = at.is_none().then_some(now + AGAIN_MS);
        }
        if let Some(at) = at {
            let call = self.call(at, Call::Config(name.into()));
            self.tell(at, Input::Config { call, request });
        }
    }

    /// An answer, or none.
    pub fn config_answered(&mut self, name: &str, answer: Option<&Answer>) {
        let now = self.now;
        let Some(sent) = self.changes_of_config.sent.get_mut(name) else { return };
        sent.next = Some(now + AGAIN_MS);
        let Some(answer) = answer.filter(|answer| answer.status != 503) else { return };
        let view: Option<EntryView> = serde_json::from_slice(&answer.body).ok();
        if sent.version.is_none() {
            sent.status = Some(answer.status);
        }
        sent.view.clone_from(&view);
        let Some(view) = view.filter(|_| answer.status == 200) else {
            sent.next = None;
            return;
        };
        let version = *sent.version.get_or_insert(view.version);
        // A later change may be shown by now: it is in force only if this one is.
        if view.in_force && sent.in_force_at.is_none() {
            sent.in_force_at = Some(now);
            sent.next = None;
            let holds =
                InForce { version, limit_cpus: sent.change.value.limit_cpus.unwrap_or(f64::INFINITY) };
            let team = sent.entry.team().to_string();
            let known = self.changes_of_config.in_force.entry(team).or_insert(holds);
            if known.version < version {
                *known = holds;
            }
        }
    }

    /// Where the configuration is on, nothing starts above a limit that is in force. What runs above it may stay.
    fn judge_limits(&mut self) {
        let mut seen = BTreeMap::new();
        for at in 0..self.nodes.len() {
            let (clock, slot) = (self.clock(at), &self.nodes[at]);
            if self.changes_of_config.off.contains(&slot.name) || !slot.leads() {
                continue;
            }
            let Some(work) = slot.node.as_ref().and_then(|node| node.status(clock).work) else { continue };
            for team in work.teams {
                let key = (at, slot.life as u32, team.team.clone());
                let before = self.changes_of_config.used.get(&key).copied();
                let allowed = self.changes_of_config.allowed(&team.team);
                let grown = before.is_some_and(|before| team.used_cpus > before + 1e-6);
                if grown && allowed.is_some_and(|allowed| team.used_cpus > allowed + 1e-6) {
                    let problem = format!(
                        "limit: {} starts up to {} CPUs at {}, {:?} in force",
                        team.team, team.used_cpus, slot.name, allowed
                    );
                    self.broken.push(problem);
                }
                seen.insert(key, team.used_cpus);
            }
        }
        self.changes_of_config.used = seen;
    }

    pub fn config_holds(&self, words: &[&str]) -> bool {
        let sent = |name: &str| self.changes_of_config.sent.get(name).expect("a change");
        match words {
            ["stored", name] => sent(name).version.is_some(),
            ["answered", name, status] => sent(name).status.is_some_and(|found| found.to_string() == *status),
            ["pending", name] => sent(name).in_force_at.is_none(),
            // Changes that were answered so.
            ["count", status, "=", count] => {
                let so = |sent: &&Sent| sent.status.is_some_and(|found| found.to_string() == *status);
                self.changes_of_config.sent.values().filter(so).count().to_string() == *count
            }
            // In force, or refused for good.
            ["over", name] => {
                let sent = sent(name);
                sent.in_force_at.is_some() || sent.status.is_some_and(|status| status != 200)
            }
            ["in-force", name] => sent(name).in_force_at.is_some(),
            // Milliseconds from the wish to the answer that it is in force.
            ["took", name, "<=", most] => {
                let sent = sent(name);
                let most: u64 = most.parse().expect("milliseconds");
                sent.in_force_at.is_some_and(|at| at - sent.asked_at <= most)
            }
            ["waits", name, reason] => {
                let waits = sent(name).view.as_ref().and_then(|view| view.waits_for.as_ref());
                waits
                    .is_some_and(|waits| serde_json::to_value(waits.reason).is_ok_and(|word| word == *reason))
            }
            ["above", name, "=", cpus] => {
                let cpus: f64 = cpus.parse().expect("CPUs");
                sent(name).view.as_ref().is_some_and(|view| (view.above_cpus - cpus).abs() < 1e-6)
            }
            _ => panic!("unknown condition config {words:?}"),
        }
    }
}
