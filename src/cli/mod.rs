//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use calloop::EventLoop;

use crate::clock::Clock;
use crate::config::{Config, ConfigError, Operator, Webhooks};
use crate::consensus::config::ConsensusConfig;
use crate::gateway::{Gateway, OptionalSubsystems};
use crate::membership::config::Gossip;

mod ask;
mod consensus;
mod inherited;
mod log;
mod store;
mod webhook;
pub use ask::At;
pub use consensus::{ConsensusCommand, LeasesCommand};
pub use log::{Format, Logging};
pub use store::Store;
pub use webhook::Webhook;

/// A gateway for functions loaded on demand
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the gateway in the foreground; RELAY_CONFIG, RELAY_NAME, RELAY_LISTEN, RELAY_ADMIN_ADDR and RELAY_FD tell
    /// it what it is
    #[bpaf(command)]
    Serve {
        /// An operator's file: signed webhooks, tenants and the administration API
        #[bpaf(long, argument("FILE"))]
        operator: Option<PathBuf>,
        /// A gossip file: instances that talk
        #[bpaf(long, argument("FILE"))]
        gossip: Option<PathBuf>,
        /// A council file: work on behalf of the fleet, with one owner at a time
        #[bpaf(long, argument("FILE"))]
        council: Option<PathBuf>,
        /// A copies file: what is held for others stands on several machines; needs --council and webhooks.store
        #[bpaf(long, argument("FILE"))]
        copies: Option<PathBuf>,
        #[allow(missing_docs)]
        #[bpaf(external(log::logging))]
        logging: Logging,
    },
    /// Read a configuration and say whether it can be used
    #[bpaf(command("check-config"))]
    CheckConfig {
        /// An operator's file to check as well
        #[bpaf(long, argument("FILE"))]
        operator: Option<PathBuf>,
        /// The gateway's JSON; RELAY_CONFIG if absent
        #[bpaf(positional("FILE"))]
        file: Option<PathBuf>,
    },
    /// Sign, check, send and receive signed webhooks by hand
    #[bpaf(command("webhook"))]
    Webhook(
        #[allow(missing_docs)]
        #[bpaf(external(webhook::webhook))]
        Webhook,
    ),
    /// Look at a store that no gateway holds
    #[bpaf(command("store"))]
    Store(
        #[allow(missing_docs)]
        #[bpaf(external(store::store))]
        Store,
    ),
    /// Found a council, make a seat, exchange voters, show what a gateway knows
    #[bpaf(command("council"))]
    Council(
        #[allow(missing_docs)]
        #[bpaf(external(consensus::consensus_command))]
        ConsensusCommand,
    ),
    /// Who owns which duty on behalf of the fleet
    #[bpaf(command("duties"))]
    Duties(
        #[allow(missing_docs)]
        #[bpaf(external(consensus::leases_command))]
        LeasesCommand,
    ),
    /// Print the version
    #[bpaf(command)]
    Version,
}

/// Runs the command given by the program's arguments.
pub fn main() -> ExitCode {
    run(command().run())
}

/// Runs the command given by `args`; for programs that embed this one.
pub fn main_with(args: &[String]) -> ExitCode {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match command().run_inner(args.as_slice()) {
        Ok(command) => run(command),
        Err(failure) => {
            failure.print_message(100);
            ExitCode::from(failure.exit_code().clamp(0, 255) as u8)
        }
    }
}

fn run(command: Command) -> ExitCode {
    let require_true = |result: Result<bool, _>| match result {
        Ok(true) => Ok(()),
        Ok(false) => Err("not accepted".into()),
        Err(e) => Err(e),
    };
    let result = match command {
        Command::Webhook(command) => require_true(webhook::run(command)),
        Command::Store(command) => require_true(store::run(command)),
        Command::Council(command) => consensus::run(command),
        Command::Duties(command) => consensus::print_leases(&command),
        Command::Serve {
            operator,
            gossip,
            council,
            copies,
            logging,
        } => {
            logging.begin();
            serve(operator, gossip, council, copies)
        }
        Command::CheckConfig { operator, file } => check(operator, file).map_err(Into::into),
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

fn serve(
    operator: Option<PathBuf>,
    gossip: Option<PathBuf>,
    council: Option<PathBuf>,
    copies: Option<PathBuf>,
) -> Result<(), Box<dyn std::error::Error>> {
    let socket = inherited::take()?;
    let config = Config::from_env()?;
    let name = config.name.clone();
    let operator =
        operator.map_or_else(|| Ok(Operator::default()), |path| Operator::read(&path))?;
    let gossip = gossip.map(|path| Gossip::read(&path)).transpose()?;
    let council = council
        .map(|path| ConsensusConfig::read(&path))
        .transpose()?;
    let copies = copies
        .map(|path| crate::replication::config::ReplicationFile::read(&path))
        .transpose()?;
    let extras = OptionalSubsystems {
        gossip,
        consensus: council,
        replication: copies,
    };
    let mut events = EventLoop::try_new()?;
    Gateway::watch_signals(&events.handle())?;
    let mut gateway = Gateway::new(
        config,
        operator,
        extras,
        socket,
        events.handle(),
        Clock::system(),
    )?;
    let listeners = [
        ("listens", gateway.address()),
        ("takes webhooks", gateway.webhook_address()),
        ("is administered", gateway.admin_address()),
        ("is asked line by line", gateway.console_address()),
    ];
    for (what, at) in listeners
        .iter()
        .filter_map(|(what, at)| at.map(|at| (what, at)))
    {
        tracing::info!("{name} {what} on {at}");
    }
    gateway.run(&mut events)?;
    eprintln!("counters {}", gateway.counters());
    eprintln!("loop_figures {}", gateway.loop_figures());
    Ok(())
}

/// Prints by which rule the gateways of a group take signed calls.
fn print_take_rule(webhooks: &Webhooks, config: &Config) -> Result<(), ConfigError> {
    let place = config.group_place();
    let homes = webhooks.home_gateways(place)?;
    if place.size > 1 {
        println!(
            "signed calls: taken by gateway {} unless named otherwise for the tenant, or by all {} \
             gateways with one file of identities or copies; this is gateway {}",
            homes.default,
            place.size,
            place
                .number
                .map_or("without a number".into(), |number| number.to_string())
        );
    }
    Ok(())
}

fn check(operator: Option<PathBuf>, file: Option<PathBuf>) -> Result<(), ConfigError> {
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
        config.initial_updates.len()
    );
    if let Some(path) = operator {
        let operator = Operator::read(&path)?;
        println!(
            "webhooks {}, administration {}, {} tenants",
            operator
                .webhooks
                .as_ref()
                .map_or("off".into(), |w| w.listen.to_string()),
            operator
                .admin
                .as_ref()
                .map_or("off".into(), |a| a.listen.to_string()),
            operator.tenants.len()
        );
        if let Some(webhooks) = &operator.webhooks {
            print_take_rule(webhooks, &config)?;
        }
    }
    Ok(())
}
