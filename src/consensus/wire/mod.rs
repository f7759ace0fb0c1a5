//! Frames between gateways: what must come whole goes over TCP, sealed as membership's datagrams are.
//!
//! A frame is its length in four bytes, little-endian, and a sealed envelope. Who accepts a connection says a word first that
//! it has never said before, and who connects puts its own into every frame; a seal covers both, the two names, the
//! direction and a number that counts up, so that a frame counts once, on its connection, for whom it was meant. No clock is
//! read. What cannot be read ends the connection and harms nobody else.

use std::fmt;
use std::sync::Arc;

use prost::Message as _;
use serde::{Deserialize, Serialize};

use crate::consensus::peer_memory::KnownState;
use crate::consensus::state::{Entry, State, SubsystemEntry};
use crate::consensus::ReplicaId;
use crate::lease::holder::{RenewReply, RenewRequest};
use crate::lease::{LeaseName, Term};
use crate::membership::is_name;
use crate::membership::keys::Keys;

/// The version of this wire: 2 has shards in the agreed state, 3 tenants.
pub const VERSION: u32 = 3;
/// Bytes of a frame at most.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Bytes of the word that who accepts says first.
pub const CHALLENGE_BYTES: usize = 16;
/// What is sealed; membership's are 1 to 4.
const FRAME: u8 = 5;

/// Once said by who accepts, and once by who connects.
pub type Challenge = [u8; CHALLENGE_BYTES];

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(string, tag = "2")]
    from: String,
    #[prost(string, tag = "3")]
    to: String,
    #[prost(bytes = "vec", tag = "4")]
    word: Vec<u8>,
    #[prost(uint64, tag = "5")]
    number: u64,
    #[prost(bytes = "vec", tag = "6")]
    body: Vec<u8>,
    #[prost(bytes = "vec", tag = "7")]
    seal: Vec<u8>,
}

/// What one owner did for the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEffect {
    /// Under which duty.
    pub lease: LeaseName,
    /// Under which term.
    pub term: Term,
    /// Whose.
    pub holder: Arc<str>,
    /// Which of its effects under this term.
    pub number: u64,
    /// What it is.
    pub content: Vec<u8>,
}

/// What one gateway has for a duty's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Which duty.
    pub lease: LeaseName,
    /// Whose word it is.
    pub from: Arc<str>,
    /// What it is.
    pub content: Vec<u8>,
}

/// What a frame says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// From one voter to another: the generation, the sender's seat, which start of its disk and process, `raft`'s message.
    Raft(u32, ReplicaId, u64, u64, Vec<u8>),
    /// A voter asks what is known of its seat.
    RecallRequest(u32, ReplicaId, KnownState),
    /// What is known of a seat, told by a seat.
    RecallReply(u32, ReplicaId, KnownState, ReplicaId),
    /// A question of a duty's owner, to whoever leads; through which voter, if not straight.
    RenewLeases(RenewRequest, Option<String>),
    /// The answer.
    RenewReply(RenewReply),
    /// What has been agreed since? And which effects were passed on since? With the seat of who asks, if its disk has one.
    Poll(Poll),
    /// Entries in order, as the answer to a poll.
    Entries(u32, Vec<(u64, Entry)>, Forwarded),
    /// The state in place of entries that are not kept any more.
    State(Box<State>, Forwarded),
    /// What an owner did.
    Effect(LeaseEffect),
    /// Something for a duty's owner; whether a voter passed it on.
    Report(LeaseReport, bool),
    /// An entry that a subsystem of somebody's wants agreed; whether a voter passed it on.
    Submit(SubsystemEntry, bool),
    /// Between gateways that hold copies: not the council's.
    Replication(crate::replication::wire::Body),
}

/// A follower's question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Of which generation its state is.
    pub generation: u32,
    /// The last entry that it has.
    pub applied: u64,
    /// Whose effects it has, and how far.
    pub passed: (u64, u64),
    /// Its seat, if it has one and does not vote.
    pub seat: Option<ReplicaId>,
}

/// Effects that a voter passes on: which process it is, the number behind the last of these, and the effects.
pub type Forwarded = (u64, u64, Vec<LeaseEffect>);

/// Why a frame is refused; the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is longer than a frame may be.
    TooLong,
    /// It cannot be read.
    Garbled,
    /// It has another version.
    Version,
    /// No key is accepted for its sender.
    Stranger,
    /// It is meant for another.
    Other,
    /// Its seal does not hold.
    Seal,
    /// It came before, or on another connection.
    Replayed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::TooLong => "too_long",
            FrameError::Garbled => "garbled",
            FrameError::Version => "version",
            FrameError::Stranger => "stranger",
            FrameError::Other => "other",
            FrameError::Seal => "seal",
            FrameError::Replayed => "replayed",
        })
    }
}

impl std::error::Error for FrameError {}

fn content(e: &Envelope, accepted: &Challenge, by_connector: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(e.body.len() + 128);
    for part in [
        e.from.as_bytes(),
        e.to.as_bytes(),
        &e.word,
        accepted,
        &e.body,
    ] {
        out.extend((part.len() as u64).to_le_bytes());
        out.extend(part);
    }
    out.extend(e.number.to_le_bytes());
    out.extend(e.version.to_le_bytes());
    out.push(u8::from(by_connector));
    out
}

/// A word never said before: of a process that is like no other, and a number that it uses once.
pub fn challenge(name: &str, process: u64, number: u64) -> Challenge {
    let content = [
        name.as_bytes(),
        &[0],
        &process.to_le_bytes(),
        &number.to_le_bytes(),
    ]
    .concat();
    let hash = blake3::derive_key("molelug council word 1", &content);
    let mut word = [0; CHALLENGE_BYTES];
    word.copy_from_slice(&hash[..CHALLENGE_BYTES]);
    word
}

/// One connection's frames, at one of its ends.
#[derive(Clone, Debug)]
pub struct Session {
    me: String,
    /// Whether this end connected.
    connector: bool,
    /// The word of who accepted; known once it came.
    accepted: Option<Challenge>,
    /// The word of who connected; known with its first frame.
    word: Option<Challenge>,
    peer: Option<String>,
    sent: u64,
    heard: u64,
}

impl Session {
    /// The end that connects to somebody.
    pub fn connector(me: &str, peer: &str, word: Challenge) -> Session {
        Session {
            me: me.into(),
            connector: true,
            accepted: None,
            word: Some(word),
            peer: Some(peer.into()),
            sent: 0,
            heard: 0,
        }
    }

    /// The end that accepts; its word is the first that leaves.
    pub fn acceptor(me: &str, word: Challenge) -> Session {
        Session {
            me: me.into(),
            connector: false,
            accepted: Some(word),
            word: None,
            peer: None,
            sent: 0,
            heard: 0,
        }
    }

    /// Who is at the other end, once that is sealed (for who accepts) or by intent (for who connects).
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Whether frames can be sealed: both words are known.
    pub fn is_open(&self) -> bool {
        self.accepted.is_some() && self.word.is_some() && self.peer.is_some()
    }

    /// Seals a frame; none while the session is not open, or if it would be too long.
    pub fn pack(&mut self, keys: &Keys, body: &Body) -> Option<Vec<u8>> {
        let (accepted, word, to) = (self.accepted?, self.word?, self.peer.clone()?);
        let body = postcard::to_stdvec(body).ok()?;
        self.sent += 1;
        let mut e = Envelope {
            version: VERSION,
            from: self.me.clone(),
            to,
            word: word.to_vec(),
            number: self.sent,
            body,
            seal: Vec::new(),
        };
        e.seal = keys.seal(FRAME, &content(&e, &accepted, self.connector));
        let bytes = e.encode_to_vec();
        (bytes.len() <= MAX_FRAME_BYTES)
            .then(|| [&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat())
    }

    /// Takes what stands whole at the beginning of what came: how many bytes it was, and what it says, if it says anything.
    pub fn take(
        &mut self,
        keys: &Keys,
        bytes: &[u8],
    ) -> Result<Option<(usize, Option<Body>)>, FrameError> {
        if self.accepted.is_none() {
            let Some(word) = bytes.first_chunk::<CHALLENGE_BYTES>() else {
                return Ok(None);
            };
            self.accepted = Some(*word);
            return Ok(Some((CHALLENGE_BYTES, None)));
        }
        let Some(length) = bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let Some(frame) = bytes.get(4..4 + length) else {
            return Ok(None);
        };
        Ok(Some((4 + length, Some(self.open(keys, frame)?))))
    }

    fn open(&mut self, keys: &Keys, frame: &[u8]) -> Result<Body, FrameError> {
        let e = Envelope::decode(frame).map_err(|_| FrameError::Garbled)?;
        if e.version != VERSION {
            return Err(FrameError::Version);
        }
        if !is_name(&e.from)
            || !keys.knows(&e.from)
            || self.peer.as_ref().is_some_and(|p| *p != e.from)
        {
            return Err(FrameError::Stranger);
        }
        if e.to != self.me {
            return Err(FrameError::Other);
        }
        let word: Challenge = e
            .word
            .as_slice()
            .try_into()
            .map_err(|_| FrameError::Garbled)?;
        // One that was taken back before it left is missing among the numbers.
        if self.word.is_some_and(|w| w != word) || e.number <= self.heard {
            return Err(FrameError::Replayed);
        }
        let accepted = self.accepted.ok_or(FrameError::Garbled)?;
        if !keys.check(
            &e.from,
            FRAME,
            &content(&e, &accepted, !self.connector),
            &e.seal,
        ) {
            return Err(FrameError::Seal);
        }
        let body = postcard::from_bytes(&e.body).map_err(|_| FrameError::Garbled)?;
        (self.word, self.peer, self.heard) = (Some(word), Some(e.from), e.number);
        Ok(body)
    }
}

/// Bytes of a frame that says this between two names, with a seal of a key that all share; for the emulator's figures.
pub fn size(from: &str, to: &str, body: &Body) -> usize {
    // Tags and lengths of the envelope, its word, number and seal, and the frame's own length.
    postcard::to_stdvec(body).map_or(0, |b| b.len()) + from.len() + to.len() + CHALLENGE_BYTES + 64
}

#[cfg(test)]
mod tests;
