//! Main program of the test bed under its former name, for scripts that still use it.

use std::process::ExitCode;

fn main() -> ExitCode {
    molelug_testbed::cli::main()
}
