//! Contexts: named sets of controllers that a client can connect to, listed in an HCL file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use olivelatch::source_location::collapse_whitespace;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a contexts file, or a context in it, cannot be used.
#[derive(Debug, Error)]
pub enum ContextsError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// The path of the file.
        file: String,
        /// The underlying I/O error.
        error: std::io::Error,
    },
    /// The file is not valid HCL, or contains unknown fields.
    #[error("{file}: {problem}")]
    Hcl {
        /// The path of the file.
        file: String,
        /// The parser's message.
        problem: String,
    },
    /// The file has no context of that name.
    #[error("{file}: no context named {name:?}; the file has: {known}")]
    Unknown {
        /// The path of the file.
        file: String,
        /// The requested name; empty if none was given and the file has no default.
        name: String,
        /// The names of the contexts in the file, separated by commas.
        known: String,
    },
    /// The context has no controllers.
    #[error("{file}: context {name:?} has no controllers")]
    Empty {
        /// The path of the file.
        file: String,
        /// The name of the context.
        name: String,
    },
}

/// The addresses to which a client sends its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// The controllers; any of them serves any request.
    pub controllers: Vec<SocketAddr>,
    /// The service that stores job descriptions and serves the logs of tasks.
    #[serde(default, rename = "desk")]
    pub job_store: Option<SocketAddr>,
}

/// The contents of a contexts file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contexts {
    /// The name of the context that is used if none is requested.
    #[serde(default)]
    pub current: Option<String>,
    /// The contexts by name.
    #[serde(default)]
    pub context: BTreeMap<String, Context>,
}

impl Contexts {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// The file cannot be read, or is invalid.
    pub fn load(path: &Path) -> Result<Contexts, ContextsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ContextsError::Read { file: file.clone(), error })?;
        hcl::from_str(&text)
            .map_err(|error| ContextsError::Hcl { file, problem: collapse_whitespace(&error.to_string()) })
    }

    /// Returns the context of this name; without a name the `current` one, or if there is none, the only one in the
    /// file. `file` is the file's name in errors.
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

    /// Returns the text of a contexts file that holds one context, which is also the `current` one.
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
