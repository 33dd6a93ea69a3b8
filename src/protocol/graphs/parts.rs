//! The parts in which a graph is uploaded and stored, and how a client cuts a graph into them.

use serde::{Deserialize, Serialize};

use super::NodeTemplate;

/// One node of a graph.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DagNodeRecord {
    #[serde(rename = "n")]
    pub name: String,
    /// The number of its job (`JobId`).
    #[serde(rename = "j")]
    pub job: u64,
    /// Index of its template, counted over all parts.
    #[serde(rename = "t")]
    pub template: u32,
    /// Index of the node whose output list it is mapped over, one task for each item.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub mapped_from: Option<u32>,
}

/// A part of a run. Templates and nodes are indexed over all parts, in their order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphPart {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<NodeTemplate>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<DagNodeRecord>,
    /// A node, the first of a range of its upstream nodes, and the length of the range.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edges: Vec<(u32, u32, u32)>,
    /// Ranges of nodes to run again: the first, the length, and the number of the first one's new job.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "redo")]
    pub reruns: Vec<(u32, u32, u64)>,
}

/// Cuts a graph into parts whose JSON has at most `max_bytes` bytes, in the order in which items are indexed.
///
/// An item that is larger than a part gets a part of its own.
pub fn split_into_parts(
    templates: Vec<NodeTemplate>,
    nodes: Vec<DagNodeRecord>,
    edges: Vec<(u32, u32, u32)>,
    reruns: Vec<(u32, u32, u64)>,
    max_bytes: usize,
) -> Vec<GraphPart> {
    let mut builder =
        PartBuilder { parts: vec![GraphPart::default()], bytes: PART_OVERHEAD_BYTES, max_bytes };
    for template in templates {
        builder.part_with_space_for(&template).templates.push(template);
    }
    for node in nodes {
        builder.part_with_space_for(&node).nodes.push(node);
    }
    for edge in edges {
        builder.part_with_space_for(&edge).edges.push(edge);
    }
    for rerun in reruns {
        builder.part_with_space_for(&rerun).reruns.push(rerun);
    }
    builder.parts
}

/// Bytes of field names and brackets of a part.
const PART_OVERHEAD_BYTES: usize = 60;

/// Fills one part after the other.
struct PartBuilder {
    parts: Vec<GraphPart>,
    /// Size of the last part's JSON.
    bytes: usize,
    max_bytes: usize,
}

impl PartBuilder {
    /// The part to which the item is to be added.
    fn part_with_space_for(&mut self, item: &impl Serialize) -> &mut GraphPart {
        let bytes = serde_json::to_string(item).map_or(0, |text| text.len()) + 1;
        if self.bytes + bytes > self.max_bytes && self.bytes > PART_OVERHEAD_BYTES {
            self.parts.push(GraphPart::default());
            self.bytes = PART_OVERHEAD_BYTES;
        }
        self.bytes += bytes;
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

#[cfg(test)]
#[path = "tests/parts.rs"]
mod tests;
