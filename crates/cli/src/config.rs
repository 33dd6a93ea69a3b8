//! `latch config`: what operators change while the service runs.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use anstream::println;
use olivelatch::protocol::config::{EntryView, TeamValue};
use olivelatch_client::{Author, Client, ClientError, ConfigFile, Difference};
use serde_json::json;

use crate::args::{Change, Common, Config};
use crate::commands::{connect_to, show};
use crate::config_tables as render;
use crate::exit::{Failure, NOT_YET};

pub fn run(common: &Common, command: &Config) -> Result<ExitCode, Failure> {
    match command {
        Config::List => {
            let list = connect_to(common, None)?.config_list()?;
            show(common, &list, || render::config_table(&list.entries))?;
            Ok(ExitCode::SUCCESS)
        }
        Config::Get { entry } => {
            let view = connect_to(common, None)?.config_get(entry)?;
            show(common, &view, || render::config_entry(&view))?;
            Ok(ExitCode::SUCCESS)
        }
        Config::Set { entry, limit_cpus, guaranteed_cpus, expected, change } => {
            if limit_cpus.is_none() && guaranteed_cpus.is_none() {
                return Err(Failure::Usage("expected --limit-cpus, --guaranteed-cpus or both".into()));
            }
            let mut client = connect_to(common, None)?;
            let now = client.config_get(entry)?;
            let value = TeamValue {
                limit_cpus: limit_cpus.or(now.value.limit_cpus),
                guaranteed_cpus: guaranteed_cpus.or(now.value.guaranteed_cpus),
            };
            change_one(common, &mut client, entry, value, expected.unwrap_or(now.version), change)
        }
        Config::Unset { entry, change } => {
            let mut client = connect_to(common, None)?;
            let now = client.config_get(entry)?;
            change_one(common, &mut client, entry, TeamValue::default(), now.version, change)
        }
        Config::Diff { file, to } => apply(common, file, to, Mode::Show, &Change::default()),
        Config::Apply { file, to, dry_run, change } => {
            apply(common, file, to, if *dry_run { Mode::Show } else { Mode::Write }, change)
        }
    }
}

fn author(change: &Change) -> Author {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    Author {
        by: change.by.clone().or_else(user).unwrap_or_else(|| "operator".into()),
        why: change.why.clone().unwrap_or_default(),
    }
}

fn change_one(
    common: &Common,
    client: &mut Client,
    entry: &str,
    value: TeamValue,
    expected: u64,
    change: &Change,
) -> Result<ExitCode, Failure> {
    let start = Instant::now();
    let stored = match client.config_set(entry, value, Some(expected), &author(change)) {
        Err(ClientError::Refused { status: 409, body, .. }) => return Err(conflict(entry, &body)),
        stored => stored?,
    };
    if !change.wait {
        show(common, &stored, || {
            format!("{}\n{}", render::config_entry(&stored), "stored; --wait shows when it is in force")
        })?;
        return Ok(ExitCode::SUCCESS);
    }
    let view = client.config_wait(entry, stored.version, within(change)?)?;
    let seconds = start.elapsed().as_secs_f64();
    show(common, &json!({"entry": view, "seconds": seconds}), || {
        format!("{}\n{}", render::config_entry(&view), render::in_force(&view, seconds))
    })?;
    Ok(if view.in_force { ExitCode::SUCCESS } else { ExitCode::from(NOT_YET) })
}

fn within(change: &Change) -> Result<Duration, Failure> {
    Duration::try_from_secs_f64(change.within)
        .map_err(|_| Failure::Usage(format!("--within: expected seconds, not {}", change.within)))
}

/// Somebody else has changed the entry since it was looked at.
fn conflict(entry: &str, body: &[u8]) -> Failure {
    match serde_json::from_slice::<EntryView>(body) {
        Ok(now) => Failure::Refused(format!(
            "{entry} was changed meanwhile, by {}: it is at version {} with {}; look again and repeat the change",
            now.by.as_deref().unwrap_or("nobody known"),
            now.version,
            render::team_value(now.value)
        )),
        Err(_) => Failure::Refused(String::from_utf8_lossy(body).into_owned()),
    }
}

/// Whether a file is laid down or only compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Show,
    Write,
}

/// What became of a file in one region.
struct Outcome {
    context: String,
    result: Result<Region, Failure>,
}

/// What a file does in a region that answers.
struct Region {
    lines: Vec<String>,
    open: usize,
}

/// Lays a file down in each context, or only shows what would change. Each region's outcome is its own.
fn apply(
    common: &Common,
    path: &std::path::Path,
    to: &[String],
    mode: Mode,
    change: &Change,
) -> Result<ExitCode, Failure> {
    let file = ConfigFile::load(path)?;
    let contexts: Vec<Option<&str>> =
        if to.is_empty() { vec![None] } else { to.iter().map(|name| Some(name.as_str())).collect() };
    let mut outcomes = Vec::new();
    for context in contexts {
        let result =
            connect_to(common, context).and_then(|mut client| apply_in(&mut client, &file, mode, change));
        outcomes.push(Outcome { context: context.unwrap_or("current").into(), result });
    }
    let mut code = ExitCode::SUCCESS;
    for outcome in outcomes {
        match outcome.result {
            Ok(region) => {
                let what = if region.lines.is_empty() {
                    "nothing to change".into()
                } else {
                    region.lines.join("\n")
                };
                println!("{}:\n{what}", outcome.context);
                if region.open > 0 {
                    code = ExitCode::from(NOT_YET);
                }
            }
            Err(failure) => {
                println!("{}: NOT CHANGED, what held there still holds: {failure}", outcome.context);
                code = failure.code();
            }
        }
    }
    Ok(code)
}

fn apply_in(client: &mut Client, file: &ConfigFile, mode: Mode, change: &Change) -> Result<Region, Failure> {
    let list = client.config_list()?;
    let differences = file.differences(&list);
    if let Some(unknown) = differences.iter().find(|difference| difference.now.is_none()) {
        return Err(Failure::Refused(format!("{}: the region has no such team", unknown.entry)));
    }
    let mut region = Region { lines: Vec::new(), open: 0 };
    let mut stored = Vec::new();
    let start = Instant::now();
    for difference in &differences {
        region.lines.push(difference_line(difference));
        if mode == Mode::Show {
            continue;
        }
        let expected = difference.now.map(|now| now.version);
        match client.config_set(&difference.entry, difference.wanted, expected, &author(change)) {
            Ok(view) => stored.push(view),
            Err(ClientError::Refused { status: 409, body, .. }) => {
                return Err(conflict(&difference.entry, &body));
            }
            Err(error) => return Err(error.into()),
        }
    }
    if !change.wait {
        return Ok(region);
    }
    let within = within(change)?;
    for one in stored {
        let view = client.config_wait(&one.entry, one.version, within.saturating_sub(start.elapsed()))?;
        region.lines.push(render::in_force(&view, start.elapsed().as_secs_f64()));
        region.open += usize::from(!view.in_force);
    }
    Ok(region)
}

fn difference_line(difference: &Difference<'_>) -> String {
    let now = difference.now.map(|now| now.value).unwrap_or_default();
    format!(
        "  {}: {} -> {}",
        difference.entry,
        render::team_value(now),
        render::team_value(difference.wanted)
    )
}
