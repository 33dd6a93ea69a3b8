//! Uploads of a graph's parts. Each part is stored as a separate record; its content can be replaced only
//! until the part is committed.

use super::decision::{Decision, DecisionContext, DecisionResult};
use super::rejection::GraphRejection;
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::records::RecordKey;
use crate::coordination::unavailable::Unavailable;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{DagRunName, GraphPart, MAX_PARTS, PartsUpload};
use crate::protocol::kv::{KvMutation, Precondition};

/// Maximum number of parts, across all runs, that are stored without a commit at the same time.
const MAX_UNCOMMITTED_PARTS: usize = 2 * MAX_PARTS as usize;
/// Maximum estimated size of a transaction's mutations, in bytes: below the store's limit of 64 KiB.
const MAX_TXN_BYTES: usize = 40 * 1024;
/// Allowance for the key and the encoding of a part within a transaction, in bytes.
const PART_OVERHEAD_BYTES: usize = 200;
const BYTES_PER_KB: f64 = 1024.0;

/// Decides which of the parts to write in the next transaction.
pub(super) fn decide_upload(
    run_name: &DagRunName,
    upload: &PartsUpload,
    context: &DecisionContext<'_>,
) -> DecisionResult {
    check_part_numbers(upload)?;
    let run = context.state.cache.dag_runs.by_name(run_name);
    if run.is_some_and(|run| run.upload_expired) {
        return Err(GraphRejection::UploadExpired.into());
    }
    if uncommitted_part_count(context) + upload.parts.len() > MAX_UNCOMMITTED_PARTS {
        return Err(Unavailable::UncommittedPartLimit.into());
    }
    let batch = plan_batch(run_name, run, upload, context)?;
    let body = serde_json::json!({"run": run_name.as_str(), "parts": upload.parts.len()});
    let stored = HttpResponse::json(200, &body);
    if batch.mutations.is_empty() {
        return Ok(Decision::Respond(stored));
    }
    Ok(batch.into_decision(stored, context))
}

fn check_part_numbers(upload: &PartsUpload) -> Result<(), GraphRejection> {
    let end = upload.first_part.checked_add(upload.parts.len() as u32);
    if upload.parts.is_empty() || end.is_none_or(|end| end > MAX_PARTS) {
        return Err(GraphRejection::PartNumbers);
    }
    Ok(())
}

fn uncommitted_part_count(context: &DecisionContext<'_>) -> usize {
    let runs = context.state.cache.dag_runs.all_runs();
    runs.filter(|(_, run)| run.accepted.is_none()).map(|(_, run)| run.parts.len()).sum()
}

/// The parts to write in one transaction.
#[derive(Default)]
struct PartBatch {
    preconditions: Vec<Precondition>,
    mutations: Vec<KvMutation>,
    bytes: usize,
    /// Whether further parts are left for another transaction.
    is_incomplete: bool,
    /// Whether the content of a stored part is replaced.
    replaces_part: bool,
}

impl PartBatch {
    fn fits(&self, bytes: usize, max_ops: usize) -> bool {
        // One mutation is reserved for the key of graph acceptance.
        let fits_ops = self.mutations.len() + 2 <= max_ops;
        let fits_bytes = self.bytes == 0 || self.bytes + bytes <= MAX_TXN_BYTES;
        fits_ops && fits_bytes
    }

    fn add(&mut self, key: &RecordKey, value: String, context: &DecisionContext<'_>) {
        self.bytes += value.len() + PART_OVERHEAD_BYTES;
        self.preconditions.push(context.unchanged(key));
        self.mutations.push(KvMutation::Put { key: key.encode(), value, lease: None });
    }

    fn into_decision(mut self, stored: HttpResponse, context: &DecisionContext<'_>) -> Decision {
        if self.replaces_part {
            // A commit that was decided on the basis of the previous content must fail.
            self.preconditions.push(context.unchanged(&RecordKey::GraphAcceptance));
            self.mutations.push(context.touch_graph_acceptance());
        }
        Decision::Write {
            preconditions: self.preconditions,
            mutations: self.mutations,
            response: (!self.is_incomplete).then_some(stored),
        }
    }
}

fn plan_batch(
    run_name: &DagRunName,
    run: Option<&DagRun>,
    upload: &PartsUpload,
    context: &DecisionContext<'_>,
) -> Result<PartBatch, GraphRejection> {
    let max_bytes = (context.state.settings.kv_limits.max_value_kb * BYTES_PER_KB) as usize;
    let mut batch = PartBatch {
        preconditions: vec![context.unchanged(&RecordKey::DagRun(run_name.clone()))],
        ..PartBatch::default()
    };
    for (part, content) in (upload.first_part..).zip(&upload.parts) {
        let value = serde_json::to_string(content).unwrap_or_default();
        if value.len() > max_bytes {
            return Err(GraphRejection::PartTooLarge { part, bytes: value.len(), max_bytes });
        }
        match run.map_or(StoredPart::Missing, |run| stored_part(run, part, content)) {
            StoredPart::Identical => continue,
            StoredPart::Conflicting => return Err(GraphRejection::PartConflict(part)),
            StoredPart::Replaceable => batch.replaces_part = true,
            StoredPart::Missing => {}
        }
        if !batch.fits(value.len(), context.max_ops) {
            batch.is_incomplete = true;
            break;
        }
        batch.add(&RecordKey::GraphPart(run_name.clone(), part), value, context);
    }
    Ok(batch)
}

/// How the stored part with the same number compares with the uploaded part.
enum StoredPart {
    Missing,
    Identical,
    /// The contents differ, but no commit or rerun includes the part, so its content may be replaced.
    Replaceable,
    Conflicting,
}

fn stored_part(run: &DagRun, part: u32, content: &GraphPart) -> StoredPart {
    if !run.parts.contains(&part) {
        return StoredPart::Missing;
    }
    let is_committed = run.accepted.is_some() && part < run.next_rerun_part();
    match run.part_contents.get(&part) {
        // The parts of an accepted graph are not cached: a client that sends one is repeating an upload.
        None => StoredPart::Identical,
        Some(stored) if stored == content => StoredPart::Identical,
        Some(_) if is_committed => StoredPart::Conflicting,
        Some(_) => StoredPart::Replaceable,
    }
}
