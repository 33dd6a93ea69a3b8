//! What people write and look at: graph files (HCL, with variables and `minijinja` templates in their strings), refused with
//! file and line before anything is sent, and pictures of runs as text, DOT and SVG. docs/flows.md has the format.

mod file;
mod picture;
mod prepare;

pub use file::{FlowFile, FlowFileError};
pub use picture::{Picture, critical_path};
pub use prepare::{PreparedRun, Redo};
