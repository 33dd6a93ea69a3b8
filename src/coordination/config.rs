//! Changes of configuration on their way: decided behind a read barrier, written on the version that was looked at, and
//! watched until no controller can act by an older value. docs/design.md, "Changes of configuration", argues for it.
//! Bounded in number and in time; no I/O, no clock.

use std::collections::{BTreeMap, VecDeque};

use super::ledger::{Answered, Ledger, Purpose};
use super::users::{COME_BACK_S, apply_changes};
use super::watermarks::{STOPPED_MS, Watermarks};
use super::{CallId, Clock, Output};
use crate::bookkeeping::config::lowered;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::Key;
use crate::ids::{Millis, Revision, milli_down, units};
use crate::protocol::Answer;
use crate::protocol::config::{
    ChangeRequest, ConfigRequest, EntryName, EntryRecord, EntryView, FORMAT, HeldUp, TeamValue, WaitsFor,
};
use crate::protocol::mesh::MeshMessage;
use crate::protocol::state::{Change, Guard, StateReply};
use crate::settings::{Settings, Team};

/// Clients wait longer; the answer must be on its way before.
const PATIENCE_MS: u64 = 2_900;
/// Requests held at once.
const MOST_WAITING: usize = 200;
/// Between two words to a leader that has not said how far it has read.
const ASK_AGAIN_MS: u64 = 100;

/// A change or a list that waits for a read sent after it came in.
#[derive(Debug)]
struct Waiting {
    call: CallId,
    request: ConfigRequest,
    arrived: Millis,
    until: Millis,
}

/// Somebody waits until a version is in force.
#[derive(Debug)]
struct Watcher {
    call: CallId,
    entry: EntryName,
    version: Revision,
    until: Millis,
}

/// What decisions look at.
pub struct Ground<'a> {
    pub mirror: &'a Mirror,
    pub settings: &'a Settings,
    pub watermarks: &'a Watermarks,
    /// CPUs, in thousandths, that a team's tasks use or may use.
    pub used: &'a dyn Fn(&str) -> u64,
    pub clock: Clock,
}

#[derive(Debug, Default)]
pub struct ConfigDesk {
    waiting: VecDeque<Waiting>,
    writing: Option<Waiting>,
    watchers: Vec<Watcher>,
    /// When versions of entries became known here, for as long as that decides anything.
    seen: BTreeMap<Revision, Millis>,
    /// The records were read as a whole then: which of their changes are recent is not known.
    read_at: Option<Millis>,
    ask_next: Millis,
}

/// What becomes of a request.
enum Decision {
    Answer(Answer),
    Write(Guard, Change),
}

impl ConfigDesk {
    /// Somebody waits for a newer read of the records.
    pub fn wants_barrier(&self, mirror: &Mirror) -> bool {
        !self.waiting.is_empty() || self.watchers.iter().any(|watcher| watcher.version > mirror.revision)
    }

    /// Requests that wait for something.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.watchers.len() + usize::from(self.writing.is_some())
    }

    /// Changes wait for the state service to take them: polls must leave them a request.
    pub fn writes_wait(&self) -> bool {
        self.waiting.iter().any(|waiting| matches!(waiting.request, ConfigRequest::Set { .. }))
    }

    /// An entry has changed at this revision.
    pub fn learned(&mut self, revision: Revision, now: Millis) {
        self.seen.entry(revision).or_insert(now);
    }

    /// The records were read as a whole.
    pub fn learned_all(&mut self, now: Millis) {
        self.seen.clear();
        self.read_at = Some(now);
    }

    /// Takes a request in; the answer, if there is one at once.
    pub fn take(
        &mut self,
        clock: Clock,
        call: CallId,
        request: ConfigRequest,
        ledger: &Ledger,
    ) -> Option<Answer> {
        let full = self.waiting.len() + self.watchers.len() >= MOST_WAITING;
        if !ledger.loaded || full {
            return Some(Answer::later("cannot decide now", COME_BACK_S));
        }
        let until = clock.now.plus(PATIENCE_MS);
        match request {
            ConfigRequest::Get { entry, version: Some(version) } => {
                self.watchers.push(Watcher { call, entry, version: Revision(version), until });
            }
            request => {
                if !ledger.reachable(clock.now) {
                    return Some(Answer::later(
                        "the state service does not answer this controller",
                        COME_BACK_S,
                    ));
                }
                self.waiting.push_back(Waiting { call, request, arrived: clock.now, until });
            }
        }
        None
    }

    /// Decides what the mirror is new enough for, and writes one change at a time.
    pub fn step(&mut self, ground: &Ground<'_>, ledger: &mut Ledger, out: &mut Vec<Output>) {
        let fresh = ledger.fresh.unwrap_or_default();
        let mut at = 0;
        while at < self.waiting.len() {
            let waiting = &self.waiting[at];
            let changes = matches!(waiting.request, ConfigRequest::Set { .. });
            if waiting.arrived > fresh || (changes && self.writing.is_some()) {
                at += 1;
                continue;
            }
            match self.decide(&waiting.request, ground) {
                Decision::Answer(answer) => {
                    let call = self.waiting.remove(at).map(|waiting| waiting.call);
                    out.extend(call.map(|call| Output::Answer { call, answer }));
                }
                Decision::Write(guard, change) => {
                    let (guards, changes) = (vec![guard], vec![change]);
                    if ledger.txn(ground.clock, Purpose::ConfigTxn, guards, changes, out).is_none() {
                        at += 1;
                        continue;
                    }
                    self.writing = self.waiting.remove(at);
                }
            }
        }
        self.answer_watchers(ground, out);
        self.ask_leader(ground, out);
        self.forget(ground.clock.now);
    }

    fn decide(&self, request: &ConfigRequest, ground: &Ground<'_>) -> Decision {
        match request {
            ConfigRequest::List => Decision::Answer(self.list(ground)),
            ConfigRequest::Get { entry, .. } => Decision::Answer(self.show(entry, ground)),
            ConfigRequest::Set { entry, change } => self.change(entry, change, ground),
        }
    }

    fn change(&self, entry: &EntryName, change: &ChangeRequest, ground: &Ground<'_>) -> Decision {
        let Some(platform) = platform_team(entry, ground.settings) else {
            return Decision::Answer(Answer::error(
                422,
                &format!("{entry}: no such team in the platform's settings"),
            ));
        };
        if let Err(problem) = check_value(entry, change.value, platform) {
            return Decision::Answer(Answer::error(422, &problem));
        }
        let mirror = ground.mirror;
        let known = mirror.config.get(entry);
        if known.is_some_and(|known| known.record.change == change.change) {
            // The request was carried out before, and its answer was lost.
            return Decision::Answer(self.show(entry, ground));
        }
        let key = Key::Config(entry.to_string()).text();
        let stamp = mirror.stamp(&key);
        if mirror.config.strange(&entry.to_string()).is_some() {
            let text = format!(
                "{entry}: its record is of a later version: change it through a controller of that version"
            );
            return Decision::Answer(Answer::error(409, &text));
        }
        if change.expected.is_some_and(|expected| Revision(expected) != stamp) {
            return Decision::Answer(Answer { status: 409, ..self.show(entry, ground) });
        }
        let record = EntryRecord {
            format: FORMAT,
            value: change.value.into(),
            by: change.by.clone(),
            why: change.why.clone(),
            at: ground.clock.wall_ms,
            change: change.change.clone(),
        };
        let value = serde_json::to_string(&record).unwrap_or_default();
        Decision::Write(Guard { key: key.clone(), stamp }, Change::Put { key, value, lease: None })
    }

    /// What came of a write. The revision of a change that was applied.
    pub fn written(
        &mut self,
        clock: Clock,
        answered: Answered,
        mirror: &mut Mirror,
        out: &mut Vec<Output>,
    ) -> Option<Revision> {
        let writing = self.writing.take()?;
        match answered.reply {
            StateReply::Applied { revision } => {
                apply_changes(&answered.request, revision, mirror);
                self.learned(revision, clock.now);
                // Answered with the entry as it is now.
                self.waiting.push_front(Waiting { arrived: Millis::default(), ..writing });
                return Some(revision);
            }
            // Somebody was first: it is decided anew on what is there by now.
            StateReply::Conflict { .. } => {
                self.waiting.push_back(Waiting { arrived: clock.now, ..writing });
            }
            StateReply::Refused { status: 429 } => self.waiting.push_front(writing),
            // Perhaps carried out: the client asks again, and the change's number tells.
            _ => {
                let answer = Answer::later("not certain to be stored", COME_BACK_S);
                out.push(Output::Answer { call: writing.call, answer });
            }
        }
        None
    }

    /// Gives up on what waited too long.
    pub fn expire(&mut self, clock: Clock, out: &mut Vec<Output>) {
        self.waiting.retain(|waiting| {
            let over = waiting.until <= clock.now;
            if over {
                let answer = Answer::later("cannot decide now", COME_BACK_S);
                out.push(Output::Answer { call: waiting.call, answer });
            }
            !over
        });
    }

    fn answer_watchers(&mut self, ground: &Ground<'_>, out: &mut Vec<Output>) {
        let now = ground.clock.now;
        for watcher in std::mem::take(&mut self.watchers) {
            let held = self.held_up(&watcher.entry, watcher.version, ground);
            if held.is_none() || watcher.until <= now {
                let answer = self.show_at(&watcher.entry, watcher.version, ground);
                out.push(Output::Answer { call: watcher.call, answer });
            } else {
                self.watchers.push(watcher);
            }
        }
    }

    /// A leader that should have read a change and has not said so is told to look.
    fn ask_leader(&mut self, ground: &Ground<'_>, out: &mut Vec<Output>) {
        let newest = self.watchers.iter().map(|watcher| watcher.version).max();
        let Some(newest) = newest.filter(|_| ground.clock.now >= self.ask_next) else { return };
        let Some(leader) = &ground.mirror.leader else { return };
        if leader.node == ground.settings.node || ground.watermarks.has_read(&leader.node, newest) {
            return;
        }
        self.ask_next = ground.clock.now.plus(ASK_AGAIN_MS);
        let message = MeshMessage::Notify { revision: newest.0 };
        out.push(Output::Mesh { node: leader.node.clone(), message });
    }

    /// What was seen long ago decides nothing any more.
    fn forget(&mut self, now: Millis) {
        let recent = |seen: Millis| now.since(seen) < 2 * STOPPED_MS;
        self.seen.retain(|_, seen| recent(*seen));
        self.read_at = self.read_at.filter(|at| recent(*at));
    }

    /// Whom a version waits for; None: it is in force.
    fn held_up(&self, entry: &EntryName, version: Revision, ground: &Ground<'_>) -> Option<WaitsFor> {
        let mirror = ground.mirror;
        let now = ground.clock.now;
        let seen = self.seen.get(&version).copied().or(self.read_at);
        let since_s = seen.map_or(0.0, |seen| units(now.since(seen)));
        let held = |node: Option<String>, reason| Some(WaitsFor { node, reason, since_s });
        let own = ground.settings.node.clone();
        if mirror.config.strange(&entry.to_string()).is_some() {
            return held(Some(own), HeldUp::NotUnderstood);
        }
        if mirror.revision < version {
            return held(Some(own), HeldUp::NotRead);
        }
        // Who leads by a read that reaches the change. Whoever comes to lead later has read it first.
        let Some(leader) = &mirror.leader else { return None };
        if leader.config != Some(FORMAT) {
            return held(Some(leader.node.clone()), HeldUp::LeaderIgnores);
        }
        let stopped = seen.is_none_or(|seen| now.since(seen) >= STOPPED_MS);
        let knows = leader.revision > version
            || leader.node == own
            || ground.watermarks.has_read(&leader.node, version);
        if knows || stopped { None } else { held(Some(leader.node.clone()), HeldUp::LeaderBehind) }
    }

    fn list(&self, ground: &Ground<'_>) -> Answer {
        let mut entries: Vec<EntryView> = ground
            .settings
            .teams
            .iter()
            .map(|team| self.view(&EntryName::Team(team.name.clone()), Some(team), None, ground))
            .collect();
        let known =
            |name: &str| ground.settings.teams.iter().any(|team| format!("team/{}", team.name) == name);
        for (name, version) in ground.mirror.config.strange_names().filter(|(name, _)| !known(name)) {
            entries.push(strange_view(name, version, &ground.settings.node));
        }
        let list = crate::protocol::config::EntryList {
            node: ground.settings.node.clone(),
            revision: ground.mirror.revision.0,
            entries,
        };
        Answer::json(200, &list)
    }

    fn show(&self, entry: &EntryName, ground: &Ground<'_>) -> Answer {
        let platform = platform_team(entry, ground.settings);
        if platform.is_none() && ground.mirror.config.get(entry).is_none() {
            return Answer::error(404, &format!("{entry}: no such team in the platform's settings"));
        }
        Answer::json(200, &self.view(entry, platform, None, ground))
    }

    /// The entry, with whom the asked version waits for.
    fn show_at(&self, entry: &EntryName, version: Revision, ground: &Ground<'_>) -> Answer {
        let platform = platform_team(entry, ground.settings);
        Answer::json(200, &self.view(entry, platform, Some(version), ground))
    }

    fn view(
        &self,
        entry: &EntryName,
        platform: Option<&Team>,
        asked: Option<Revision>,
        ground: &Ground<'_>,
    ) -> EntryView {
        let known = ground.mirror.config.get(entry);
        let strange = ground.mirror.config.strange(&entry.to_string());
        let version = known.map(|known| known.version).or(strange).unwrap_or_default();
        let value: TeamValue = known.map(|known| known.record.value.into()).unwrap_or_default();
        let holds = platform.map(|platform| lowered(platform, value));
        let waits_for = self.held_up(entry, asked.unwrap_or(version).max(version), ground);
        let used = (ground.used)(entry.team());
        let limit = holds.as_ref().map_or(u64::MAX, |team| team.limit().cpu);
        EntryView {
            entry: entry.to_string(),
            version: version.0,
            value,
            platform: platform.map(value_of).unwrap_or_default(),
            holds: holds.as_ref().map(value_of).unwrap_or_default(),
            by: known.map(|known| known.record.by.clone()),
            why: known.map(|known| known.record.why.clone()),
            at_ms: known.map(|known| known.record.at),
            in_force: waits_for.is_none(),
            waits_for,
            used_cpus: units(used),
            above_cpus: units(used.saturating_sub(limit)),
        }
    }
}

fn platform_team<'a>(entry: &EntryName, settings: &'a Settings) -> Option<&'a Team> {
    settings.teams.iter().find(|team| team.name == entry.team())
}

/// An entry of a sort that is not known here.
fn strange_view(name: &str, version: Revision, node: &str) -> EntryView {
    EntryView {
        entry: name.into(),
        version: version.0,
        value: TeamValue::default(),
        platform: TeamValue::default(),
        holds: TeamValue::default(),
        by: None,
        why: None,
        at_ms: None,
        in_force: false,
        waits_for: Some(WaitsFor { node: Some(node.into()), reason: HeldUp::NotUnderstood, since_s: 0.0 }),
        used_cpus: 0.0,
        above_cpus: 0.0,
    }
}

/// A team's CPUs for people; no limit is null.
fn value_of(team: &Team) -> TeamValue {
    let limit = team.limit().cpu;
    TeamValue {
        limit_cpus: (limit < u64::MAX).then(|| units(limit)),
        guaranteed_cpus: Some(units(team.guaranteed.cpu)),
    }
}

/// A value that can hold; else what was expected, for people.
fn check_value(entry: &EntryName, value: TeamValue, platform: &Team) -> Result<(), String> {
    const MOST_CPUS: f64 = 1e9;
    let limit = platform.limit().cpu;
    let most_limit = if limit == u64::MAX { MOST_CPUS } else { units(limit) };
    within(entry, "limit_cpus", value.limit_cpus, most_limit)?;
    let by_limit = value.limit_cpus.unwrap_or(MOST_CPUS);
    within(entry, "guaranteed_cpus", value.guaranteed_cpus, units(platform.guaranteed.cpu).min(by_limit))
}

fn within(entry: &EntryName, field: &str, value: Option<f64>, most: f64) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    let fine = value.is_finite() && value >= 0.0 && milli_down(value) <= milli_down(most);
    if fine {
        return Ok(());
    }
    Err(format!("{entry}: {field}: expected 0 to {most} (what the platform's settings allow), not {value}"))
}
