//! Entry point of the controller; the command line is in `olivelatch::cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    olivelatch::cli::main()
}
