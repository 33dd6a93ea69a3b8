//! Service-level objectives of job classes, from the settings.

use std::collections::{BTreeSet, HashMap};

use crate::ids::{ClassIx, Interner};
use crate::settings::ServiceLevelObjective;

/// The kind of an objective on the time from submission to completion.
const COMPLETION_KIND: &str = "finished";

/// Which classes have objectives, and within what time their jobs should complete.
#[derive(Debug, Default)]
pub struct ClassObjectives {
    /// Milliseconds from acceptance to completion, ascending.
    pub(super) completion_slos: HashMap<ClassIx, Vec<u64>>,
    /// Classes with an objective of any kind; the others are best effort.
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
