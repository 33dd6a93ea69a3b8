//! Service-level objectives of job classes, from the settings.

use std::collections::{BTreeSet, HashMap};

use crate::ids::{ClassIx, Interner};
use crate::settings::ServiceLevelObjective;

/// The kind of objectives for the time from submission to completion, as named in the settings.
const COMPLETION_KIND: &str = "finished";

/// The classes that have objectives, and the times within which their jobs should complete.
#[derive(Debug, Default)]
pub struct ClassObjectives {
    /// Objectives for the time from acceptance to completion, in milliseconds, ascending.
    pub(super) completion_slos: HashMap<ClassIx, Vec<u64>>,
    /// Classes with an objective of any kind. Jobs of other classes may be best effort.
    pub(super) slo_classes: BTreeSet<ClassIx>,
}

impl ClassObjectives {
    /// Adds the objectives of the settings.
    pub(super) fn load(&mut self, objectives: &[ServiceLevelObjective], classes: &mut Interner<ClassIx>) {
        for objective in objectives {
            let Some(name) = &objective.job_class else { continue };
            let class = classes.intern(name);
            self.slo_classes.insert(class);
            if let (COMPLETION_KIND, Some(within_s)) = (objective.kind.as_str(), objective.target_s) {
                let slos = self.completion_slos.entry(class).or_default();
                slos.push((within_s * 1000.0) as u64);
                slos.sort_unstable();
            }
        }
    }
}
