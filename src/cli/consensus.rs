//! `molelug council` and `molelug duties`: found a council, make a seat, exchange voters, and see who owns what.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use serde_json::Value;

use super::ask::{at, plain, At};
use crate::consensus::config::{bootstrap, fresh, state_of, File};
use crate::consensus::persistent_state::Record;
use crate::store::disk::Disk;
use crate::store::records::Op;

/// A council: its disks, which no gateway may hold meanwhile, and what a running gateway knows of it
#[derive(Clone, Debug, Bpaf)]
pub enum Council {
    /// Make the disk of a founder; to be done once at each founder, with the same names
    #[bpaf(command)]
    Found {
        /// The council file
        #[bpaf(long, argument("FILE"))]
        council: PathBuf,
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
    #[bpaf(command)]
    Seat {
        /// The council file
        #[bpaf(long, argument("FILE"))]
        council: PathBuf,
    },
    /// Print what a gateway knows of the council
    #[bpaf(command)]
    Show(
        #[allow(missing_docs)]
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
        #[allow(missing_docs)]
        #[bpaf(external(at))]
        at: At,
    },
}

/// Who owns each duty, under which term, and for how long; as a gateway knows it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(duties_command))]
pub struct Duties {
    /// Say why nobody owns a duty
    #[bpaf(long)]
    explain: bool,
    #[allow(missing_docs)]
    #[bpaf(external(at))]
    at: At,
}

/// Prints the duties.
pub fn duties(what: &Duties) -> Result<(), Box<dyn Error>> {
    let view = what.at.ask("GET", "/v1/duties", "")?;
    if what.at.json {
        println!("{view}");
        return Ok(());
    }
    println!(
        "as {} knows it; the leader is {}",
        plain(&view["name"]),
        plain(&view["leader"])
    );
    for d in view["duties"].as_array().into_iter().flatten() {
        print!(
            "{}  term {}  owner {}",
            plain(&d["duty"]),
            plain(&d["term"]),
            plain(&d["owner"])
        );
        if d["mine"] == true {
            print!("  its own for {} ms more", plain(&d["lease_left_ms"]));
        }
        println!();
        if what.explain && d["why_nobody"] != Value::Null {
            println!("  {}", why(&plain(&d["why_nobody"])));
        }
    }
    let trials = &view["trials"];
    if *trials != Value::Null {
        println!(
            "trials made here {}, workers held for ill: {}",
            plain(&trials["trials"]),
            trials["ill"]
        );
    }
    Ok(())
}

/// Why nobody owns a duty, in a sentence.
fn why(name: &str) -> &str {
    match name {
        "WaitsOut" => "its last owner's lease may still run, and is waited out",
        "NobodyOffers" => "no gateway that can do it has offered to",
        "Proposed" => "a grant is proposed, and a majority has not agreed to it yet",
        "no_leader_known" => {
            "this gateway knows of no leader: without a majority of voters nobody grants anything"
        }
        other => other,
    }
}

fn show(view: &Value) {
    let line = |what: &str, key: &str| println!("{what:<18}{}", plain(&view[key]));
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
    for (name, seat) in view["voters"].as_object().into_iter().flatten() {
        println!("voter             {name}  seat {}", plain(seat));
    }
    for (name, seat) in view["seats"].as_object().into_iter().flatten() {
        println!("could vote        {name}  seat {}", plain(seat));
    }
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Writes a disk that is not there yet: one that is has a seat that others know.
fn make(path: &Path, record: Record) -> Result<(), Box<dyn Error>> {
    if path.exists() {
        return Err(format!(
            "{} is there already; a new seat wants a new disk",
            path.display()
        )
        .into());
    }
    let (mut disk, _) = Disk::open(path, 0, now())?;
    let kept = disk.commit([Op::Log(Box::new(record))], now())?;
    Ok(kept.into_iter().try_for_each(|k| k.map(|_| ()))?)
}

fn seat_file(file: &File) -> Result<PathBuf, Box<dyn Error>> {
    file.seat
        .clone()
        .ok_or_else(|| "the council file names no disk for a seat".into())
}

/// Does it.
pub fn run(what: Council) -> Result<(), Box<dyn Error>> {
    match what {
        Council::Found {
            council,
            name,
            generation,
            from,
            names,
        } => {
            let file = File::read(&council)?;
            let me = name
                .or_else(|| file.name.clone())
                .ok_or("no name: give one by --name or in the file")?;
            let old = match from {
                Some(path) if !path.exists() => {
                    return Err(format!("there is no {}", path.display()).into())
                }
                Some(path) => {
                    let (_, found) = Disk::open(&path, 0, now())?;
                    let head = found.log.0.ok_or("the disk has no seat")?;
                    Some(state_of(&head, &found.log.1).ok_or("the disk's state cannot be read")?)
                }
                None => None,
            };
            let path = seat_file(&file)?;
            make(&path, bootstrap(generation, &me, &names, old.as_ref())?)?;
            println!(
                "{me} is a founder of generation {generation}, with {} in all",
                names.len()
            );
        }
        Council::Show(at) => {
            let view = at.ask("GET", "/v1/council", "")?;
            if at.json {
                println!("{view}");
            } else {
                show(&view);
            }
        }
        Council::Exchange { joins, leaves, at } => {
            let body = serde_json::json!({ "joins": joins, "leaves": leaves });
            let view = at.ask("POST", "/v1/council/voters", &body.to_string())?;
            println!(
                "asked of {}; 'molelug council show' tells when it has been agreed",
                plain(&view["name"])
            );
        }
        Council::Seat { council } => {
            let file = File::read(&council)?;
            let path = seat_file(&file)?;
            let drawn = [
                &now().to_le_bytes()[..],
                &std::process::id().to_le_bytes(),
                path.as_os_str().as_encoded_bytes(),
            ];
            let hash = blake3::derive_key("molelug council seat 1", &drawn.concat());
            let seat = hash
                .first_chunk::<8>()
                .map_or(1, |b| u64::from_le_bytes(*b).max(1));
            make(&path, fresh(seat))?;
            println!("a seat was made; it votes once a council has made it a voter");
        }
    }
    Ok(())
}
