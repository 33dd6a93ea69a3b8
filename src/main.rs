use std::process::ExitCode;

fn main() -> ExitCode {
    olivelatch::cli::main()
}
