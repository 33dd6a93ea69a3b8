//! Contexts: named sets of controllers that a client may talk to, in an HCL file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use olivelatch::source_location::collapse_whitespace;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What is wrong with a contexts file.
#[derive(Debug, Error)]
pub enum ContextsError {
    /// It cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// Its path.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
    /// It is not HCL, or has unknown names in it.
    #[error("{file}: {problem}")]
    Hcl {
        /// Its path.
        file: String,
        /// The parser's message.
        problem: String,
    },
    /// It has no context of that name.
    #[error("{file}: there is no context {name:?}; it has {known}")]
    Unknown {
        /// Its path.
        file: String,
        /// The name that was asked for.
        name: String,
        /// The names that it has.
        known: String,
    },
    /// The context has no controllers.
    #[error("{file}: context {name:?} names no controllers")]
    Empty {
        /// Its path.
        file: String,
        /// The context.
        name: String,
    },
}

/// Where a client sends its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// The controllers; any of them serves any request.
    pub controllers: Vec<SocketAddr>,
    /// The service that keeps descriptions and logs.
    #[serde(default, rename = "desk")]
    pub job_store: Option<SocketAddr>,
}

/// The contents of a contexts file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contexts {
    /// The context that is used if none is named.
    #[serde(default)]
    pub current: Option<String>,
    /// The contexts by name.
    #[serde(default)]
    pub context: BTreeMap<String, Context>,
}

impl Contexts {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or is wrong.
    pub fn load(path: &Path) -> Result<Contexts, ContextsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ContextsError::Read { file: file.clone(), error })?;
        hcl::from_str(&text)
            .map_err(|error| ContextsError::Hcl { file, problem: collapse_whitespace(&error.to_string()) })
    }

    /// One context: the named one, else the current one, else the only one. `file` is the file's name in errors.
    ///
    /// # Errors
    /// There is no such context, or it has no controllers.
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
        let job_store =
            context.job_store.map_or(String::new(), |addr| format!("  desk        = \"{addr}\"\n"));
        format!(
            "current = \"{name}\"\n\ncontext \"{name}\" {{\n  controllers = [{}]\n{job_store}}}\n",
            controllers.join(", ")
        )
    }
}

#[cfg(test)]
#[path = "tests/contexts.rs"]
mod tests;
