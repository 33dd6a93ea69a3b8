//! `olivelatchctl config`: entries of the configuration that operators change at run time. Every change is a
//! compare-and-swap on the version that was read, so that two operators do not overwrite each other's
//! changes.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anstream::println;
use olivelatch::protocol::config::{ConfigEntryView, TeamQuota};
use olivelatch_client::{ChangeAuthor, Client, ClientError, ConfigDifference, ConfigFile};
use serde_json::json;

use crate::args::{ChangeArgs, ConfigCommand, GlobalArgs};
use crate::connection::connect_to;
use crate::exit::{CommandError, WAIT_TIMEOUT};
use crate::output::print_value;
use crate::render;

pub(super) fn run(global_args: &GlobalArgs, command: &ConfigCommand) -> Result<ExitCode, CommandError> {
    match command {
        ConfigCommand::List => {
            let list = connect_to(global_args, None)?.config_list()?;
            print_value(global_args, &list, || render::config_table(&list.entries))?;
            Ok(ExitCode::SUCCESS)
        }
        ConfigCommand::Get { entry } => {
            let view = connect_to(global_args, None)?.config_get(entry)?;
            print_value(global_args, &view, || render::config_entry_text(&view))?;
            Ok(ExitCode::SUCCESS)
        }
        ConfigCommand::Set { entry, limit_cpus, guaranteed_cpus, expected, change } => {
            if limit_cpus.is_none() && guaranteed_cpus.is_none() {
                return Err(CommandError::Usage("expected --limit-cpus, --guaranteed-cpus or both".into()));
            }
            let mut client = connect_to(global_args, None)?;
            let current = client.config_get(entry)?;
            let quota = TeamQuota {
                limit_cpus: limit_cpus.or(current.configured.limit_cpus),
                guaranteed_cpus: guaranteed_cpus.or(current.configured.guaranteed_cpus),
            };
            change_entry(global_args, &mut client, entry, quota, expected.unwrap_or(current.version), change)
        }
        ConfigCommand::Unset { entry, change } => {
            let mut client = connect_to(global_args, None)?;
            let current = client.config_get(entry)?;
            change_entry(global_args, &mut client, entry, TeamQuota::default(), current.version, change)
        }
        ConfigCommand::Diff { file, to } => {
            apply(global_args, file, to, ApplyMode::DryRun, &ChangeArgs::default())
        }
        ConfigCommand::Apply { file, to, dry_run, change } => {
            apply(global_args, file, to, if *dry_run { ApplyMode::DryRun } else { ApplyMode::Write }, change)
        }
    }
}

fn change_author(change: &ChangeArgs) -> ChangeAuthor {
    let login_name = || std::env::var("USER").ok().filter(|name| !name.is_empty());
    ChangeAuthor {
        name: change.by.clone().or_else(login_name).unwrap_or_else(|| "operator".into()),
        reason: change.why.clone().unwrap_or_default(),
    }
}

fn change_entry(
    global_args: &GlobalArgs,
    client: &mut Client,
    key: &str,
    quota: TeamQuota,
    expected_version: u64,
    change: &ChangeArgs,
) -> Result<ExitCode, CommandError> {
    let start = Instant::now();
    let stored = match client.config_set(key, quota, Some(expected_version), &change_author(change)) {
        Err(ClientError::Refused { status: 409, body, .. }) => return Err(conflict_error(key, &body)),
        stored => stored?,
    };
    if !change.wait {
        print_value(global_args, &stored, || {
            let entry = render::config_entry_text(&stored);
            format!("{entry}\nstored; use --wait to wait until it is in force")
        })?;
        return Ok(ExitCode::SUCCESS);
    }
    let view = client.config_wait(key, stored.version, wait_timeout(change)?)?;
    let elapsed_s = start.elapsed().as_secs_f64();
    print_value(global_args, &json!({"entry": view, "seconds": elapsed_s}), || {
        format!("{}\n{}", render::config_entry_text(&view), render::in_force_text(&view, elapsed_s))
    })?;
    Ok(if view.is_effective { ExitCode::SUCCESS } else { ExitCode::from(WAIT_TIMEOUT) })
}

fn wait_timeout(change: &ChangeArgs) -> Result<Duration, CommandError> {
    Duration::try_from_secs_f64(change.within)
        .map_err(|_| CommandError::Usage(format!("--within: expected seconds, not {}", change.within)))
}

/// Builds the error for an entry that someone else changed after it was read.
fn conflict_error(key: &str, body: &[u8]) -> CommandError {
    match serde_json::from_slice::<ConfigEntryView>(body) {
        Ok(current) => CommandError::Refused(format!(
            "{key} was changed meanwhile by {}: it is now at version {} with {}; read it again and repeat the change",
            current.changed_by.as_deref().unwrap_or("an unknown operator"),
            current.version,
            render::team_quota_text(current.configured)
        )),
        Err(_) => CommandError::Refused(String::from_utf8_lossy(body).into_owned()),
    }
}

/// Whether a file is applied or only compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ApplyMode {
    DryRun,
    Write,
}

/// The outcome of applying a file in the cluster of one context.
struct ContextOutcome {
    context: String,
    result: Result<ClusterChanges, CommandError>,
}

/// The changes that a file makes in one cluster.
#[derive(Default)]
struct ClusterChanges {
    /// The lines to print: one for each change, then one for each change that was waited for.
    lines: Vec<String>,
    /// Number of changes that were not in force in time.
    pending: usize,
}

/// Applies a file in each context, or only shows what would change. A failure in one cluster does not affect
/// the others.
fn apply(
    global_args: &GlobalArgs,
    path: &Path,
    context_names: &[String],
    mode: ApplyMode,
    change: &ChangeArgs,
) -> Result<ExitCode, CommandError> {
    let file = ConfigFile::load(path)?;
    let contexts: Vec<Option<&str>> = if context_names.is_empty() {
        vec![None]
    } else {
        context_names.iter().map(|name| Some(name.as_str())).collect()
    };
    let mut outcomes = Vec::new();
    for context in contexts {
        let result = connect_to(global_args, context)
            .and_then(|mut client| apply_in_cluster(&mut client, &file, mode, change));
        outcomes.push(ContextOutcome { context: context.unwrap_or("current").into(), result });
    }
    Ok(print_outcomes(outcomes))
}

/// Prints the outcome in each cluster; the last failure determines the exit code.
fn print_outcomes(outcomes: Vec<ContextOutcome>) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for ContextOutcome { context, result } in outcomes {
        match result {
            Ok(changes) => {
                let text = if changes.lines.is_empty() {
                    "nothing to change".into()
                } else {
                    changes.lines.join("\n")
                };
                println!("{context}:\n{text}");
                if changes.pending > 0 {
                    code = ExitCode::from(WAIT_TIMEOUT);
                }
            }
            Err(error) => {
                println!(
                    "{context}: NOT CHANGED, or not completely (`olivelatchctl config diff` shows the differences): {error}"
                );
                code = error.exit_code();
            }
        }
    }
    code
}

fn apply_in_cluster(
    client: &mut Client,
    file: &ConfigFile,
    mode: ApplyMode,
    change: &ChangeArgs,
) -> Result<ClusterChanges, CommandError> {
    let list = client.config_list()?;
    let differences = file.differences(&list);
    if let Some(unknown) = differences.iter().find(|difference| difference.current.is_none()) {
        return Err(CommandError::Refused(format!("{}: the cluster has no such team", unknown.key)));
    }
    let mut changes = ClusterChanges::default();
    let mut stored = Vec::new();
    let start = Instant::now();
    for difference in &differences {
        changes.lines.push(difference_line(difference));
        if mode == ApplyMode::Write {
            stored.push(store_difference(client, difference, change)?);
        }
    }
    if !change.wait {
        return Ok(changes);
    }
    let within = wait_timeout(change)?;
    for entry in stored {
        let view = client.config_wait(&entry.key, entry.version, within.saturating_sub(start.elapsed()))?;
        changes.lines.push(render::in_force_text(&view, start.elapsed().as_secs_f64()));
        changes.pending += usize::from(!view.is_effective);
    }
    Ok(changes)
}

fn store_difference(
    client: &mut Client,
    difference: &ConfigDifference<'_>,
    change: &ChangeArgs,
) -> Result<ConfigEntryView, CommandError> {
    let expected_version = difference.current.map(|current| current.version);
    match client.config_set(&difference.key, difference.wanted, expected_version, &change_author(change)) {
        Err(ClientError::Refused { status: 409, body, .. }) => Err(conflict_error(&difference.key, &body)),
        stored => Ok(stored?),
    }
}

fn difference_line(difference: &ConfigDifference<'_>) -> String {
    let current = difference.current.map(|current| current.configured).unwrap_or_default();
    format!(
        "  {}: {} -> {}",
        difference.key,
        render::team_quota_text(current),
        render::team_quota_text(difference.wanted)
    )
}
