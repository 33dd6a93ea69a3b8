//! Graph files, and rendering of runs.
//!
//! [`DagFile`] parses a file (HCL, with variables and `minijinja` templates in its strings) and reports errors with
//! file and line before anything is sent. [`PreparedRun`] and [`Rerun`] hold the data to send. [`RunView`] renders a
//! run as text, DOT or SVG. Nothing in this crate talks to a controller. docs/flows.md has the format.

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
