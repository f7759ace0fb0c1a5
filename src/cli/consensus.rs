//! `molelug council` and `molelug duties`: bootstrap voters, make a replica, exchange voters, and
//! show consensus and leases.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use serde_json::{json, Value};

use super::ask::{at, plain, At};
use crate::consensus::bootstrap::{bootstrap, new_replica, recover_state};
use crate::consensus::config::ConsensusConfig;
use crate::consensus::persistent_state::Record;
use crate::consensus::replica_id_from_hash;
use crate::consensus::state::State;
use crate::store::disk::Disk;
use crate::store::operations::Op;

/// A council: its disks, which no gateway may hold meanwhile, and what a running gateway knows of it
#[derive(Clone, Debug, Bpaf)]
pub enum ConsensusCommand {
    /// Make the disk of a founder; to be done once at each founder, with the same names
    #[bpaf(command("found"))]
    Bootstrap {
        /// The council file
        #[bpaf(long("council"), argument("FILE"))]
        config: PathBuf,
        /// The gateway's name, if the file has none
        #[bpaf(long, argument("NAME"))]
        name: Option<String>,
        /// Counts how often the council was founded anew after most of its voters were lost
        #[bpaf(long, argument("N"), fallback(1))]
        generation: u32,
        /// The disk of a survivor of the generation before; its duties begin anew, above all terms granted
        #[bpaf(long, argument("DISK"))]
        from: Option<PathBuf>,
        /// All founders
        #[bpaf(positional("NAME"))]
        names: Vec<String>,
    },
    /// Make the disk of a seat that nobody has made a voter yet
    #[bpaf(command("seat"))]
    Replica {
        /// The council file
        #[bpaf(long("council"), argument("FILE"))]
        config: PathBuf,
    },
    /// Print what a gateway knows of the council
    #[bpaf(command)]
    Show(
        #[allow(missing_docs)] // A doc comment would become part of the help text.
        #[bpaf(external(at))]
        At,
    ),
    /// Have one gateway vote, or another no more; asked of the leader
    #[bpaf(command)]
    Exchange {
        /// Who is to vote; it has a seat and follows at the leader
        #[bpaf(long, argument("NAME"))]
        joins: Option<String>,
        /// Who is to vote no more
        #[bpaf(long, argument("NAME"))]
        leaves: Option<String>,
        #[allow(missing_docs)] // A doc comment would become part of the help text.
        #[bpaf(external(at))]
        at: At,
    },
}

/// Who owns each duty, under which term, and for how long; as a gateway knows it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(leases_command))]
pub struct LeasesCommand {
    /// Say why nobody owns a duty
    #[bpaf(long)]
    explain: bool,
    #[allow(missing_docs)] // A doc comment would become part of the help text.
    #[bpaf(external(at))]
    at: At,
}

/// Prints the leases.
///
/// # Errors
///
/// If the gateway cannot be asked.
pub fn print_leases(command: &LeasesCommand) -> Result<(), Box<dyn Error>> {
    let view = command.at.ask("GET", "/v1/duties", "")?;
    if command.at.json {
        println!("{view}");
        return Ok(());
    }
    println!(
        "as {} knows it; the leader is {}",
        plain(&view["name"]),
        plain(&view["leader"])
    );
    for lease in view["duties"].as_array().into_iter().flatten() {
        print_lease(lease, command.explain);
    }
    let health_checks = &view["trials"];
    if *health_checks != Value::Null {
        println!(
            "trials made here {}, workers held for ill: {}",
            plain(&health_checks["trials"]),
            health_checks["ill"]
        );
    }
    Ok(())
}

fn print_lease(lease: &Value, explain: bool) {
    print!(
        "{}  term {}  owner {}",
        plain(&lease["duty"]),
        plain(&lease["term"]),
        plain(&lease["owner"])
    );
    if lease["mine"] == true {
        let remaining = plain(&lease["lease_left_ms"]);
        print!("  its own for {remaining} ms more");
    }
    println!();
    let reason = &lease["why_nobody"];
    if explain && *reason != Value::Null {
        println!("  {}", explain_vacancy(&plain(reason)));
    }
}

/// Explains why nobody holds a lease.
fn explain_vacancy(reason: &str) -> &str {
    match reason {
        "WaitsOut" => "its last owner's lease may still run, and is waited out",
        "NobodyOffers" => "no gateway that can do it has offered to",
        "Proposed" => "a grant is proposed, and a majority has not agreed to it yet",
        "no_leader_known" => {
            "this gateway knows of no leader: without a majority of voters nobody grants anything"
        }
        other => other,
    }
}

fn print_consensus(view: &Value) {
    let line = |label: &str, key: &str| println!("{label:<18}{}", plain(&view[key]));
    line("name", "name");
    line("generation", "generation");
    line("leader", "leader");
    line("votes", "votes");
    line("why not", "why_not_voting");
    line("asks", "asks");
    line("applied", "applied");
    line("entries kept", "entries");
    line("followers", "followers");
    line("reached", "reached");
    line("frames refused", "refused");
    for (name, replica) in view["voters"].as_object().into_iter().flatten() {
        println!("voter             {name}  seat {}", plain(replica));
    }
    for (name, replica) in view["seats"].as_object().into_iter().flatten() {
        println!("could vote        {name}  seat {}", plain(replica));
    }
}

/// Microseconds since 1970.
fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Creates a disk. An existing disk is refused, as it has a replica that others know.
fn make_disk(path: &Path, record: Record) -> Result<(), Box<dyn Error>> {
    if path.exists() {
        let path = path.display();
        return Err(format!("{path} is there already; a new seat wants a new disk").into());
    }
    let (mut disk, _) = Disk::open(path, 0, unix_micros())?;
    for result in disk.commit([Op::AppendLog(Box::new(record))], unix_micros())? {
        result?;
    }
    Ok(())
}

fn replica_disk(file: &ConsensusConfig) -> Result<PathBuf, Box<dyn Error>> {
    file.replica_disk
        .clone()
        .ok_or_else(|| "the council file names no disk for a seat".into())
}

/// Reads the state of a survivor's disk.
fn read_state(path: &Path) -> Result<State, Box<dyn Error>> {
    if !path.exists() {
        return Err(format!("there is no {}", path.display()).into());
    }
    let (_, stored) = Disk::open(path, 0, unix_micros())?;
    let (metadata, log) = stored.log;
    let metadata = metadata.ok_or("the disk has no seat")?;
    let state = recover_state(&metadata, &log).ok_or("the disk's state cannot be read")?;
    Ok(state)
}

fn run_bootstrap(
    config: &Path,
    name: Option<String>,
    generation: u32,
    from: Option<&Path>,
    names: &[String],
) -> Result<(), Box<dyn Error>> {
    let file = ConsensusConfig::read(config)?;
    let own_name = name
        .or_else(|| file.name.clone())
        .ok_or("no name: give one by --name or in the file")?;
    let old = from.map(read_state).transpose()?;
    let path = replica_disk(&file)?;
    make_disk(
        &path,
        bootstrap(generation, &own_name, names, old.as_ref())?,
    )?;
    println!(
        "{own_name} is a founder of generation {generation}, with {} in all",
        names.len()
    );
    Ok(())
}

fn run_new_replica(config: &Path) -> Result<(), Box<dyn Error>> {
    let file = ConsensusConfig::read(config)?;
    let path = replica_disk(&file)?;
    let parts = [
        &unix_micros().to_le_bytes()[..],
        &std::process::id().to_le_bytes(),
        path.as_os_str().as_encoded_bytes(),
    ];
    let hash = blake3::derive_key("molelug council seat 1", &parts.concat());
    make_disk(&path, new_replica(replica_id_from_hash(&hash)))?;
    println!("a seat was made; it votes once a council has made it a voter");
    Ok(())
}

/// Runs a sub-command of `molelug council`.
///
/// # Errors
///
/// If a file or a disk cannot be used, or the gateway cannot be asked.
pub fn run(command: ConsensusCommand) -> Result<(), Box<dyn Error>> {
    match command {
        ConsensusCommand::Bootstrap {
            config,
            name,
            generation,
            from,
            names,
        } => run_bootstrap(&config, name, generation, from.as_deref(), &names),
        ConsensusCommand::Replica { config } => run_new_replica(&config),
        ConsensusCommand::Show(at) => {
            let view = at.ask("GET", "/v1/council", "")?;
            if at.json {
                println!("{view}");
            } else {
                print_consensus(&view);
            }
            Ok(())
        }
        ConsensusCommand::Exchange { joins, leaves, at } => {
            let body = json!({ "joins": joins, "leaves": leaves });
            let view = at.ask("POST", "/v1/council/voters", &body.to_string())?;
            println!(
                "asked of {}; 'molelug council show' tells when it has been agreed",
                plain(&view["name"])
            );
            Ok(())
        }
    }
}
