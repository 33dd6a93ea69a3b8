//! Which controllers a client asks: an HCL file with named contexts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use olivelatch::source_location::collapse_whitespace;
use serde::{Deserialize, Serialize};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum ContextsError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    Hcl { file: String, problem: String },
    #[error("{file}: there is no context {name:?}; it has {known}")]
    Unknown { file: String, name: String, known: String },
    #[error("{file}: context {name:?} names no controllers")]
    Empty { file: String, name: String },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// Where users' requests go; any of them serves.
    pub controllers: Vec<SocketAddr>,
    /// Where descriptions are uploaded and logs are read.
    #[serde(default)]
    #[serde(rename = "desk")]
    pub job_store: Option<SocketAddr>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contexts {
    /// The one that counts if none is asked for.
    #[serde(default)]
    pub current: Option<String>,
    #[serde(default)]
    pub context: BTreeMap<String, Context>,
}

impl Contexts {
    pub fn load(path: &Path) -> Result<Contexts, ContextsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ContextsError::Read { file: file.clone(), error })?;
        hcl::from_str(&text)
            .map_err(|error| ContextsError::Hcl { file, problem: collapse_whitespace(&error.to_string()) })
    }

    /// One context, by name or the current one; the only one needs no name.
    pub fn select(&self, file: &str, name: Option<&str>) -> Result<Context, ContextsError> {
        let only = if self.context.len() == 1 { self.context.keys().next().cloned() } else { None };
        let name = name.map(String::from).or(self.current.clone()).or(only).unwrap_or_default();
        let known = self.context.keys().cloned().collect::<Vec<_>>().join(", ");
        let unknown = || ContextsError::Unknown { file: file.into(), name: name.clone(), known };
        let context = self.context.get(&name).ok_or_else(unknown)?;
        if context.controllers.is_empty() {
            return Err(ContextsError::Empty { file: file.into(), name });
        }
        Ok(context.clone())
    }

    /// The text of a file with one context.
    pub fn to_hcl(name: &str, context: &Context) -> String {
        let controllers: Vec<String> = context.controllers.iter().map(|addr| format!("\"{addr}\"")).collect();
        let desk = context.job_store.map_or(String::new(), |desk| format!("  desk        = \"{desk}\"\n"));
        format!(
            "current = \"{name}\"\n\ncontext \"{name}\" {{\n  controllers = [{}]\n{desk}}}\n",
            controllers.join(", ")
        )
    }
}

#[cfg(test)]
#[path = "tests/contexts.rs"]
mod tests;
