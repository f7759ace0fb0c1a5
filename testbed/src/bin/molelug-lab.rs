//! The testbed's program under its former name, which scripts may still use.

use std::process::ExitCode;

fn main() -> ExitCode {
    molelug_testbed::cli::main()
}
