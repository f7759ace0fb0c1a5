//! Main program of the test bed.

use std::process::ExitCode;

fn main() -> ExitCode {
    molelug_testbed::cli::main()
}
