//! The file of accepted identities. Several processes may share it, on one machine or on a file
//! system with advisory locks: each change is made under a lock, after reading what the others have
//! appended.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::api::Micros;
use crate::store::records::IdentityDigest;

/// Maximum time for which a process waits for the lock: it holds up the event loop.
const MAX_LOCK_WAIT: Duration = Duration::from_millis(2);
/// Maximum number of times that another process may replace the file while this one waits.
const MAX_REOPENINGS: usize = 8;

/// The words that begin the lines which are no identities.
const RELEASED: &str = "released";
const FORGOTTEN: &str = "forgotten";
const USER: &str = "user";
const MEMBER: &str = "member";
const LEFT: &str = "left";

/// One line of the file. Programs that do not know a line ignore it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Line {
    /// An accepted identity and the end of its validity.
    Taken(Micros, IdentityDigest),
    /// An identity whose call was not accepted after all.
    Released(IdentityDigest),
    /// Identities valid until this time may be missing.
    ForgottenUntil(Micros),
    /// A gateway that has recorded all its identities here.
    User(String),
    /// A gateway that records all its identities here, and its place in its group.
    Member(Member),
    /// A gateway that keeps its identities elsewhere from now on.
    Left(String),
}

/// A gateway that is registered in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Member {
    pub(super) name: String,
    pub(super) number: u32,
    pub(super) group_size: u32,
}

impl Member {
    fn parse(text: &str) -> Option<Member> {
        let mut words = text.splitn(3, ' ');
        Some(Member {
            number: words.next()?.parse().ok()?,
            group_size: words.next()?.parse().ok()?,
            name: words.next()?.to_owned(),
        })
    }
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let (word, rest) = text.split_once(' ')?;
        Some(match word {
            RELEASED => Line::Released(parse_digest(rest)?),
            FORGOTTEN => Line::ForgottenUntil(rest.parse().ok()?),
            USER => Line::User(rest.to_owned()),
            MEMBER => Line::Member(Member::parse(rest)?),
            LEFT => Line::Left(rest.to_owned()),
            until => Line::Taken(until.parse().ok()?, parse_digest(rest)?),
        })
    }

    fn write_to(&self, text: &mut String) {
        let line = match self {
            Line::Taken(until, digest) => format!("{until} {}\n", hex(digest)),
            Line::Released(digest) => format!("{RELEASED} {}\n", hex(digest)),
            Line::ForgottenUntil(until) => format!("{FORGOTTEN} {until}\n"),
            Line::User(name) => format!("{USER} {name}\n"),
            Line::Left(name) => format!("{LEFT} {name}\n"),
            Line::Member(member) => format!(
                "{MEMBER} {} {} {}\n",
                member.number, member.group_size, member.name
            ),
        };
        text.push_str(&line);
    }
}

fn hex(digest: &IdentityDigest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_digest(hex: &str) -> Option<IdentityDigest> {
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    let mut digest = IdentityDigest::default();
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(digest)
}

/// An open file of identities.
#[derive(Debug)]
pub(super) struct ReplayFile {
    path: PathBuf,
    file: File,
    /// The end of the last complete line that this process has read.
    read_to: u64,
    /// The number of lines up to there.
    lines: usize,
    /// Whether the file ends in an incomplete line, of a process that was killed.
    ends_incomplete: bool,
}

impl ReplayFile {
    /// Opens the file, or creates it.
    pub(super) fn open(path: &Path) -> io::Result<ReplayFile> {
        Ok(ReplayFile {
            path: path.to_owned(),
            file: open_for_appending(path)?,
            read_to: 0,
            lines: 0,
            ends_incomplete: false,
        })
    }

    /// The number of lines read or written.
    pub(super) fn lines(&self) -> usize {
        self.lines
    }

    /// Locks the file, until [`ReplayFile::unlock`]. Opens it again if another process has replaced
    /// it; all its lines are new then.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if another process holds the lock for too long.
    pub(super) fn lock(&mut self) -> io::Result<()> {
        for _ in 0..MAX_REOPENINGS {
            wait_for_lock(&self.file)?;
            match self.is_current() {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => {
                    self.unlock();
                    return Err(error);
                }
            }
            *self = ReplayFile::open(&self.path)?;
        }
        Err(io::ErrorKind::WouldBlock.into())
    }

    /// Releases the lock; the end of the process would release it as well.
    pub(super) fn unlock(&self) {
        let _ = self.file.unlock();
    }

    fn is_current(&self) -> io::Result<bool> {
        let own = self.file.metadata()?;
        match fs::metadata(&self.path) {
            Ok(named) => Ok((own.dev(), own.ino()) == (named.dev(), named.ino())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns the complete lines that were appended since the last reading.
    pub(super) fn read_new(&mut self) -> io::Result<Vec<Line>> {
        let length = self.file.metadata()?.len();
        let unread = usize::try_from(length.saturating_sub(self.read_to))
            .map_err(|_| io::ErrorKind::FileTooLarge)?;
        let mut bytes = vec![0; unread];
        self.file.read_exact_at(&mut bytes, self.read_to)?;
        let complete = bytes
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |end| end + 1);
        self.ends_incomplete = complete < bytes.len();
        self.read_to += complete as u64;
        let text = String::from_utf8_lossy(&bytes[..complete]);
        self.lines += text.lines().count();
        Ok(text.lines().filter_map(Line::parse).collect())
    }

    /// Appends a line. If that fails, nothing of it stays: a caller that was turned away may come
    /// again.
    pub(super) fn append(&mut self, line: &Line) -> io::Result<()> {
        let mut text = String::new();
        if self.ends_incomplete {
            text.push('\n');
        }
        line.write_to(&mut text);
        let length = self.file.metadata()?.len();
        self.file.write_all(text.as_bytes()).inspect_err(|_| {
            let _ = self.file.set_len(length);
        })
    }

    /// Replaces the contents, by a rename: a process that is killed leaves the old or the new file.
    /// The new file is locked like the old one.
    pub(super) fn replace(&mut self, lines: &[Line]) -> io::Result<()> {
        let mut text = String::new();
        for line in lines {
            line.write_to(&mut text);
        }
        let fresh = self.path.with_extension("new");
        fs::write(&fresh, text)?;
        let file = open_for_appending(&fresh)?;
        wait_for_lock(&file)?;
        fs::rename(&fresh, &self.path)?;
        self.read_to = file.metadata()?.len();
        self.lines = lines.len();
        self.ends_incomplete = false;
        self.file = file;
        Ok(())
    }
}

fn open_for_appending(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)
}

fn wait_for_lock(file: &File) -> io::Result<()> {
    let end = Instant::now() + MAX_LOCK_WAIT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(()),
            Err(TryLockError::Error(error)) => return Err(error),
            Err(TryLockError::WouldBlock) if Instant::now() >= end => {
                return Err(io::ErrorKind::WouldBlock.into())
            }
            Err(TryLockError::WouldBlock) => std::thread::yield_now(),
        }
    }
}
