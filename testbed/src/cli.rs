//! Command line of the test bed.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::{
    bench, conformance, crash, demo, emulator, fault_injection, gossip, guarantees, large_fleet,
    lease_trials, load, outage, rate, rude_clients,
};
use bpaf::Bpaf;

/// Tools and stand-ins around the molelug gateway; all of it on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Start a gateway, workers and a portal, send calls by both fronts and show what came of each
    #[bpaf(command)]
    Demo,
    /// Kill gateways at random moments and balance what was taken, run and told
    #[bpaf(command)]
    Crash {
        /// The first round's seed; each round has the next one
        #[bpaf(long, argument("S"), fallback(1))]
        seed: u64,
        /// How many rounds
        #[bpaf(long, argument("N"), fallback(10))]
        rounds: u64,
    },
    /// Load on the second front, measured
    #[bpaf(command)]
    Load(#[bpaf(external(load))] Load),
    /// The published specification's cases, against any implementation
    #[bpaf(command)]
    Conformance(#[bpaf(external(conformance))] Conformance),
    /// Instances that talk on loopback, some of them lying, beside a run without gossip
    #[bpaf(command)]
    Gossip {
        /// Instances, the liars among them
        #[bpaf(long, argument("N"), fallback(10))]
        instances: usize,
        /// How many lie
        #[bpaf(long, argument("N"), fallback(1))]
        liars: usize,
        /// How long each run
        #[bpaf(long, argument("S"), fallback(60))]
        seconds: u64,
    },
    /// Gateways that hold copies for one another, machines lost with their disks; judged by histories
    #[bpaf(command)]
    Rounds {
        /// Gateways
        #[bpaf(long, argument("N"), fallback(6))]
        instances: usize,
        /// Disks that a promise stands on
        #[bpaf(long, argument("N"), fallback(2))]
        copies: usize,
        /// Rounds
        #[bpaf(long, argument("N"), fallback(3))]
        rounds: u64,
        /// The first round's seed
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
        /// Faults a round
        #[bpaf(long, argument("N"), fallback(4))]
        faults: usize,
        /// A guard to take out, in a build for tests
        #[bpaf(long, argument("GUARD"))]
        without: Option<String>,
        /// The subject: copies, or cost, where rounds are the seconds of each fleet
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Gateways that share duties over links that fail, their owners stopped, killed and cut off; judged by histories
    #[bpaf(command)]
    Owners {
        /// Instances
        #[bpaf(long, argument("N"), fallback(5))]
        instances: usize,
        /// How many of them vote
        #[bpaf(long, argument("N"), fallback(5))]
        voters: usize,
        /// How many rounds
        #[bpaf(long, argument("N"), fallback(5))]
        rounds: u64,
        /// The first round's seed; each round has the next one
        #[bpaf(long, argument("S"), fallback(1))]
        seed: u64,
        /// Faults in a round
        #[bpaf(long, argument("N"), fallback(4))]
        faults: usize,
        /// The lease, milliseconds
        #[bpaf(long("lease-ms"), argument("MS"), fallback(lease_trials::LEASE_MS))]
        lease_ms: u64,
        /// Keep histories there
        #[bpaf(long, argument("DIR"))]
        history: Option<PathBuf>,
        /// Take one guard out, to see the check fail (builds with debug assertions only): terms, lease, queue, pre-vote,
        /// probation, kept
        #[bpaf(long, argument("GUARD"))]
        without: Option<String>,
    },
    /// What calls meet with the council off, on and without a majority, in turns
    #[bpaf(command)]
    Calls {
        /// How long each turn
        #[bpaf(long, argument("S"), fallback(5))]
        seconds: u64,
        /// How many turns
        #[bpaf(long, argument("N"), fallback(3))]
        turns: u64,
    },
    /// What a silent worker costs a fleet with trials and without
    #[bpaf(command)]
    Gain {
        /// Instances
        #[bpaf(long, argument("N"), fallback(9))]
        instances: usize,
        /// How long it is silent, and how long it is well again
        #[bpaf(long, argument("S"), fallback(10))]
        seconds: u64,
    },
    /// A fleet on a virtual clock, from a scenario and seeds; the same run each time
    #[bpaf(command)]
    Emulate {
        /// How many seeds
        #[bpaf(long, argument("N"), fallback(1))]
        seeds: u64,
        /// The first seed
        #[bpaf(long, argument("S"), fallback(1))]
        seed: u64,
        /// With this many gateways in place of the scenario's; may be given more than once
        #[bpaf(long, argument("N"))]
        instances: Vec<usize>,
        /// Write the figures there as well
        #[bpaf(long, argument("FILE"))]
        json: Option<PathBuf>,
        /// Plot the figures against the size of the fleet there
        #[bpaf(long, argument("FILE.svg"))]
        plot: Option<PathBuf>,
        /// The scenario
        #[bpaf(positional("FILE"))]
        scenario: PathBuf,
    },
    /// Judge histories
    #[bpaf(command)]
    Check {
        /// Their folder
        #[bpaf(positional("HISTORY"))]
        folder: PathBuf,
    },
    /// Long trials from seeds, judged by what workers and clients recorded
    #[bpaf(command)]
    Soak {
        /// How many seeds
        #[bpaf(long, argument("N"), fallback(50))]
        seeds: u64,
        /// The first seed
        #[bpaf(long, argument("S"), fallback(1))]
        seed: u64,
        /// How many run at once
        #[bpaf(long, argument("N"), fallback(4))]
        parallel: usize,
        /// The subject: outage, held-back (events behind comments, no health checks), large-fleet
        /// (drawn fleets and disturbances), large-release, held-loop, fleet-cost (a table),
        /// fleet-growth (200 workers beside 3,200), guarantees (replays, changed tenants, keys) or
        /// rude-clients (floods, stalled requests, departures, repeated identities)
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Measure a structure against plain ones
    #[bpaf(command)]
    Bench(#[bpaf(external(bench))] Bench),
}

#[derive(Clone, Debug, Bpaf)]
enum Load {
    /// Calls to many portals, some of them dead or slow
    #[bpaf(command)]
    Webhooks {
        /// Portals, each a tenant's
        #[bpaf(long, argument("N"), fallback(50))]
        portals: usize,
        /// How many of them refuse connections
        #[bpaf(long, argument("N"), fallback(0))]
        dead: usize,
        /// How many of them take two seconds over each answer
        #[bpaf(long, argument("N"), fallback(0))]
        slow: usize,
        /// Calls a second
        #[bpaf(long, argument("N"), fallback(400))]
        rate: u64,
        /// How long
        #[bpaf(long, argument("S"), fallback(10))]
        seconds: u64,
        /// Write the figures there as well
        #[bpaf(long, argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Calls as fast as they are taken: with a store, from memory, and with one sync for each call
    #[bpaf(command)]
    Accept {
        /// Callers at once
        #[bpaf(long, argument("N"), fallback(64))]
        callers: usize,
        /// How long each way
        #[bpaf(long, argument("S"), fallback(5))]
        seconds: u64,
        /// Another build of the gateway, to be run from memory in the same session
        #[bpaf(long, argument("PROGRAM"))]
        before: Option<PathBuf>,
    },
    /// Messages that wait for a dead portal: the gateway's memory, and its start after a kill
    #[bpaf(command)]
    Waiting {
        /// How many
        #[bpaf(long, argument("N"), fallback(100_000))]
        messages: u64,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum Conformance {
    /// Cases for one who takes signed webhooks
    #[bpaf(command)]
    Receiver {
        /// Start this project's own gateway and test it
        #[bpaf(long("self"))]
        own: bool,
        /// Where the receiver listens
        #[bpaf(long, argument("ADDRESS"))]
        target: Option<SocketAddr>,
        /// The path of its webhooks
        #[bpaf(long, argument("PATH"), fallback("/".into()))]
        path: String,
        /// The secret it knows
        #[bpaf(long, argument("SECRET"))]
        secret: Option<String>,
        /// A body it takes; each case has its own identity
        #[bpaf(long, argument("TEXT"), fallback("{\"type\":\"test\",\"data\":{}}".into()))]
        body: String,
    },
    /// Cases for one who sends them
    #[bpaf(command)]
    Sender {
        /// Start this project's own gateway and test it
        #[bpaf(long("self"))]
        own: bool,
        /// Where to listen for the sender's webhooks
        #[bpaf(long, argument("ADDRESS"))]
        listen: Option<SocketAddr>,
        /// The secret it signs with
        #[bpaf(long, argument("SECRET"))]
        secret: Option<String>,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum Bench {
    /// The timer wheel against an ordered set and a heap
    #[bpaf(command)]
    Wheel,
    /// What a call costs the gateway's processor at a high rate, with more held than leaves
    #[bpaf(command)]
    Rate {
        /// Callers, each with one call at a time
        #[bpaf(long, argument("N"), fallback(400))]
        callers: u64,
        /// Calls a second from all of them at most
        #[bpaf(long, argument("N"), fallback(1200))]
        rate: u64,
        /// How long
        #[bpaf(long, argument("S"), fallback(10))]
        seconds: u64,
        /// The gateway's part of a core
        #[bpaf(long, argument("PART"), fallback(0.3))]
        cores: f64,
        /// Another build of the gateway, to bear the same load after this one
        #[bpaf(long, argument("PROGRAM"))]
        before: Option<PathBuf>,
    },
}

/// Runs the subcommand given on the command line.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    // Runs the gateway itself, for the tools that start it with this program.
    if args.get(1).is_some_and(|a| a == "gateway") {
        return molelug::cli::main_with(&args[2..]);
    }
    let result = match command().run() {
        Command::Demo => demo::run(),
        Command::Crash { seed, rounds } => crash::run(seed, rounds),
        Command::Gossip {
            instances,
            liars,
            seconds,
        } => gossip::run(instances, liars, seconds),
        Command::Load(Load::Webhooks {
            portals,
            dead,
            slow,
            rate,
            seconds,
            json,
        }) => load::webhooks(portals, dead, slow, rate, seconds, json.as_deref()),
        Command::Load(Load::Accept {
            callers,
            seconds,
            before,
        }) => load::accept(callers, seconds, before.as_deref()),
        Command::Load(Load::Waiting { messages }) => load::waiting(messages),
        Command::Conformance(Conformance::Receiver {
            own,
            target,
            path,
            secret,
            body,
        }) => conformance::receiver(own, target, &path, secret.as_deref(), &body),
        Command::Conformance(Conformance::Sender {
            own,
            listen,
            secret,
        }) => conformance::sender(own, listen, secret.as_deref()),
        Command::Owners {
            instances,
            voters,
            rounds,
            seed,
            faults,
            lease_ms,
            history,
            without,
        } => {
            let config = lease_trials::FleetConfig {
                instances,
                voters: voters.min(instances),
                lease_ms,
                disabled_guard: without,
                ..lease_trials::FleetConfig::default()
            };
            lease_trials::run(&config, rounds, seed, faults, history.as_deref())
        }
        Command::Rounds {
            instances,
            copies,
            rounds,
            seed,
            faults,
            without,
            subject,
        } => match subject.as_str() {
            "copies" => {
                let config = fault_injection::fleet::FleetConfig {
                    instances,
                    copies,
                    disabled_guard: without,
                    ..fault_injection::fleet::FleetConfig::default()
                };
                fault_injection::copies::run(&config, rounds, seed, faults)
            }
            "cost" => fault_injection::copies::cost(instances, rounds),
            other => Err(std::io::Error::other(format!(
                "unknown subject '{other}': expected copies or cost"
            ))),
        },
        Command::Calls { seconds, turns } => lease_trials::calls(seconds, turns),
        Command::Gain { instances, seconds } => lease_trials::gain(instances, seconds),
        Command::Emulate {
            seeds,
            seed,
            instances,
            json,
            plot,
            scenario,
        } => emulator::run(
            &scenario,
            seeds,
            seed,
            &instances,
            json.as_deref(),
            plot.as_deref(),
        ),
        Command::Check { folder } => crate::history::run(&folder),
        Command::Soak {
            seeds,
            seed,
            parallel,
            subject,
        } => match subject.as_str() {
            "outage" => outage::soak(seeds, seed, parallel, outage::Scenario::draw),
            "held-back" => outage::soak(seeds, seed, parallel, outage::Scenario::held_back),
            "large-fleet" => large_fleet::soak(seeds, seed, large_fleet::Scenario::draw),
            "large-release" => large_fleet::soak(seeds, seed, large_fleet::Scenario::reported),
            "fleet-cost" => large_fleet::measure_costs().map(|()| true),
            "fleet-growth" => large_fleet::compare_growth().map(|()| true),
            "held-loop" => large_fleet::soak(seeds, seed, large_fleet::Scenario::held_loop),
            "guarantees" => guarantees::soak(seeds, seed, parallel),
            "rude-clients" => rude_clients::soak(seeds, seed, parallel),
            other => Err(std::io::Error::other(format!(
                "unknown subject '{other}': expected outage, held-back, large-fleet, large-release, held-loop, fleet-cost, fleet-growth, guarantees or rude-clients"
            ))),
        },
        Command::Bench(Bench::Wheel) => bench::wheel(),
        Command::Bench(Bench::Rate {
            callers,
            rate,
            seconds,
            cores,
            before,
        }) => rate::run(
            rate::Load {
                callers,
                rate,
                seconds,
                cores,
            },
            before.as_deref(),
        ),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("molelug-testbed: {e}");
            ExitCode::FAILURE
        }
    }
}
