//! The testbed's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    molelug_testbed::cli::main()
}
