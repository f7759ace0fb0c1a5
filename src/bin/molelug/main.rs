//! The gateway's command line.

fn main() -> std::process::ExitCode {
    molelug::cli::main()
}
