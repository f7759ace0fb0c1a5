//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use calloop::EventLoop;

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::node::Node;

/// A gateway for functions loaded on demand
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the gateway in the foreground; RELAY_CONFIG, RELAY_NAME and RELAY_LISTEN tell it what it is
    #[bpaf(command)]
    Serve,
    /// Read a configuration and say whether it can be used
    #[bpaf(command("check-config"))]
    CheckConfig {
        /// The gateway's JSON; RELAY_CONFIG if absent
        #[bpaf(positional("FILE"))]
        file: Option<PathBuf>,
    },
    /// Print the version
    #[bpaf(command)]
    Version,
}

/// Runs the command that the arguments name.
pub fn main() -> ExitCode {
    let result = match command().run() {
        Command::Serve => serve(),
        Command::CheckConfig { file } => check(file).map_err(Into::into),
        Command::Version => {
            println!("molelug {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("molelug: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::from_env()?;
    let name = config.name.clone();
    let mut events = EventLoop::try_new()?;
    let mut node = Node::new(config, events.handle(), Clock::system())?;
    node.heed_signals()?;
    eprintln!("molelug: {name} listens on {}", node.address()?);
    node.run(&mut events)?;
    eprintln!("counters {}", node.counters());
    Ok(())
}

fn check(file: Option<PathBuf>) -> Result<(), ConfigError> {
    let config = match file {
        Some(path) => Config::read(&path, None, None)?,
        None => Config::from_env()?,
    };
    println!(
        "{} listens on {}: {} classes, {} tenants, {} notices known",
        config.name,
        config.listen,
        config.names.classes.len(),
        config.names.tenants.len(),
        config.known.len()
    );
    Ok(())
}
