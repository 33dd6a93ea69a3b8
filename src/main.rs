//! The controller's program; see `olivelatch::cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    olivelatch::cli::main()
}
