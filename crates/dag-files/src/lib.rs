//! What people write and look at: graph files (HCL, with variables and `minijinja` templates in their strings), refused with
//! file and line before anything is sent, and pictures of runs as text, DOT and SVG. docs/flows.md has the format.

mod file;
mod prepare;
mod render;

pub use file::{DagFile, DagFileError};
pub use prepare::{PreparedRun, Rerun};
pub use render::{RunView, critical_path};
