//! `molelug store`: inspects, exports and compacts a store that no gateway has open.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use serde_json::json;

use crate::store::disk::Disk;
use crate::store::operations::{Op, Reply};

/// A store that no gateway holds
#[derive(Clone, Debug, Bpaf)]
pub enum Store {
    /// Read the file from end to end; ends with 1 if it had to be repaired
    #[bpaf(command)]
    Check {
        /// The store
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print its figures as JSON
    #[bpaf(command)]
    Stat {
        /// The store
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print its messages, a line of JSON each, without their bodies
    #[bpaf(command)]
    Export {
        /// The store
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Give free space in the file back to the disk
    #[bpaf(command)]
    Compact {
        /// The store
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

fn open(path: &Path) -> Result<Disk, Box<dyn Error>> {
    // A mistyped name must not create a store.
    if !path.exists() {
        return Err(format!("there is no {}", path.display()).into());
    }
    Ok(Disk::reopen(path, u64::MAX).map_err(|e| format!("{}: {e}", path.display()))?)
}

/// Runs a sub-command of `molelug store`; returns false if a check found damage.
pub fn run(command: Store) -> Result<bool, Box<dyn Error>> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64);
    match command {
        Store::Check { file } => {
            let sound = open(&file)?.check_integrity()?;
            println!(
                "{}",
                if sound {
                    "sound"
                } else {
                    "it was damaged, and is repaired as far as it could be"
                }
            );
            Ok(sound)
        }
        Store::Stat { file } => {
            let Some(Ok(Reply::Stats(stat))) = open(&file)?.commit([Op::Stats], now)?.pop() else {
                return Err("the store has no figures".into());
            };
            println!("{}", json!(stat));
            Ok(true)
        }
        Store::Export { file } => {
            let mut disk = open(&file)?;
            let mut after = None;
            loop {
                let Some(Ok(Reply::Messages(page))) =
                    disk.commit([Op::ExportMessages(after, 500)], now)?.pop()
                else {
                    return Err("the store has no messages to read".into());
                };
                for m in &page {
                    println!("{}", crate::admin::messages::exported(m));
                }
                let Some(last) = page.last() else {
                    return Ok(true);
                };
                after = Some(last.waiting.seq);
            }
        }
        Store::Compact { file } => {
            println!(
                "{}",
                if open(&file)?.compact()? {
                    "made smaller"
                } else {
                    "nothing to give back"
                }
            );
            Ok(true)
        }
    }
}
