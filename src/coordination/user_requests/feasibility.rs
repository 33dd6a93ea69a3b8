//! Checks, before a submitted job is accepted, whether it could ever run under the platform's settings.

use thiserror::Error;

use crate::bookkeeping::jobs::task_resources;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::unavailable::Unavailable;
use crate::ids::{Resources, to_milli_floor};
use crate::protocol::HttpResponse;
use crate::protocol::cloud::MachineTypeRecord;
use crate::protocol::users::{JobKind, JobManifest};
use crate::settings::{Settings, TeamSettings};

/// Why a job is not accepted. The texts are sent to users in the response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum Infeasible {
    #[error("unknown team")]
    UnknownTeam,
    #[error(transparent)]
    Undecided(#[from] Unavailable),
    #[error("a task does not fit any machine type that the job allows")]
    NoFittingMachineType,
    #[error("the job needs more than the team's limit")]
    OverTeamLimit,
}

impl From<Infeasible> for HttpResponse {
    fn from(problem: Infeasible) -> HttpResponse {
        match problem {
            Infeasible::Undecided(reason) => reason.into(),
            _ => HttpResponse::error(422, &problem.to_string()),
        }
    }
}

/// Checks that a job could run if all machines were idle and none of its team's limit were used.
///
/// # Errors
/// Returns the response that rejects the job: 422 if it can never run, 503 while the machine types are
/// unknown.
pub fn check_feasibility(
    manifest: &JobManifest,
    cache: &StoreCache,
    settings: &Settings,
) -> Result<(), HttpResponse> {
    find_infeasibility(manifest, cache, settings).map_err(HttpResponse::from)
}

fn find_infeasibility(
    manifest: &JobManifest,
    cache: &StoreCache,
    settings: &Settings,
) -> Result<(), Infeasible> {
    let needed = task_resources(manifest);
    let Some(team) = settings.teams.iter().find(|team| team.name == manifest.team) else {
        return Err(Infeasible::UnknownTeam);
    };
    if cache.machine_types.is_empty() {
        return Err(Unavailable::MachineTypesUnknown.into());
    }
    if !cache.machine_types.values().any(|machine_type| fits_machine_type(manifest, &needed, machine_type)) {
        return Err(Infeasible::NoFittingMachineType);
    }
    if !fits_team_limit(manifest, &needed, team) {
        return Err(Infeasible::OverTeamLimit);
    }
    Ok(())
}

/// Returns whether a task fits an empty machine of this type, and the job allows the type and one of its
/// zones.
fn fits_machine_type(manifest: &JobManifest, needed: &Resources, machine_type: &MachineTypeRecord) -> bool {
    let type_allowed = manifest.machine_types.as_ref().is_none_or(|types| types.contains(&machine_type.name));
    let zone_allowed = manifest
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.is_empty() || machine_type.zones.contains(zone));
    let capacity = Resources {
        cpu: to_milli_floor(machine_type.cpus),
        gpu: to_milli_floor(machine_type.gpus),
        mem: to_milli_floor(machine_type.memory_gb),
    };
    type_allowed && zone_allowed && needed.fits_in(&capacity)
}

/// Returns whether the tasks that have to run at the same time fit the team's limit.
fn fits_team_limit(manifest: &JobManifest, needed: &Resources, team: &TeamSettings) -> bool {
    let concurrent_tasks = match manifest.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => u64::from(manifest.tasks),
    };
    needed.saturating_mul(concurrent_tasks).fits_in(&team.effective_limit())
}
