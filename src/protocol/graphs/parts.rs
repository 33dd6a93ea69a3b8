//! The parts in which a graph is uploaded and stored, and the function that splits a graph into them.

use serde::{Deserialize, Serialize};

use super::NodeTemplate;

/// One node of a graph.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DagNodeRecord {
    #[serde(rename = "n")]
    pub name: String,
    /// Number of its job's id (`JobId`).
    #[serde(rename = "j")]
    pub job: u64,
    /// Index of its template among the templates of all parts.
    #[serde(rename = "t")]
    pub template: u32,
    /// For a mapped node, the index of the node whose output list it maps over: it has one task per list item.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub mapped_from: Option<u32>,
}

/// A part of a run. Indexes of templates and nodes count through all parts, in the order of the parts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphPart {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<NodeTemplate>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<DagNodeRecord>,
    /// Edges: the index of a node, the first index of a range of its upstream nodes, and the length of the range.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edges: Vec<(u32, u32, u32)>,
    /// Ranges of nodes to rerun: the first index, the length of the range, and the number of the first node's new job;
    /// the new jobs of the other nodes have the numbers that follow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "redo")]
    pub reruns: Vec<(u32, u32, u64)>,
}

/// Splits a graph into parts whose JSON has at most `max_bytes` bytes. Items keep their order, so indexes stay valid.
///
/// An item that is larger than `max_bytes` gets a part of its own.
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

/// Estimated size of the field names and brackets in a part's JSON, in bytes.
const PART_OVERHEAD_BYTES: usize = 60;

/// Fills parts one after another.
struct PartBuilder {
    parts: Vec<GraphPart>,
    /// Estimated size of the last part's JSON.
    bytes: usize,
    /// Size limit of each part's JSON.
    max_bytes: usize,
}

impl PartBuilder {
    /// Returns the part to which to add the item: the last one, or a new one if the item does not fit into the last.
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
