//! Graph files and pictures of runs.
//!
//! `DagFile` reads a file (HCL, with variables and `minijinja` templates in its strings) and refuses what is wrong with file
//! and line before anything is sent; `PreparedRun` and `Rerun` are what is sent; `RunView` draws a run as text, DOT or SVG.
//! Nothing here talks to a controller. docs/flows.md has the format.

#![warn(missing_docs)]

mod builder;
mod file;
mod prepare;
mod render;
mod source;
mod template;

pub use file::{DagFile, DagFileError, DagFileNode, NodeAttributes};
pub use prepare::{PreparedRun, Rerun};
pub use render::{RenderError, RunView, critical_path};
