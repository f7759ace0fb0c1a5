//! One end of a connection between gateways: seals and opens frames.

use prost::Message as _;

use super::{Body, CHALLENGE_BYTES, MAX_FRAME_BYTES, VERSION};
use crate::membership::is_name;
use crate::membership::keys::Keys;

/// The kind under which frames are sealed; membership uses kinds 1 to 4.
const FRAME_KIND: u8 = 5;
/// The size of a frame's length field.
const LENGTH_BYTES: usize = 4;
/// Estimated size of an envelope's tags, lengths, number and seal, plus the frame's length field.
const ENVELOPE_OVERHEAD_BYTES: usize = 64;

/// Bytes that identify a connection; each end contributes one challenge.
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
    challenge: Vec<u8>,
    #[prost(uint64, tag = "5")]
    number: u64,
    #[prost(bytes = "vec", tag = "6")]
    body: Vec<u8>,
    #[prost(bytes = "vec", tag = "7")]
    seal: Vec<u8>,
}

/// The reason for rejecting a frame; the connection is closed. The error texts are names of counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("too_long")]
    TooLong,
    /// The frame cannot be decoded.
    #[error("garbled")]
    Malformed,
    /// The frame has another version.
    #[error("version")]
    Version,
    /// No key is accepted for the sender, or the connection belongs to another sender.
    #[error("stranger")]
    UnknownSender,
    /// The frame is addressed to another gateway.
    #[error("other")]
    ReceiverMismatch,
    /// The seal does not match.
    #[error("seal")]
    InvalidSeal,
    /// The frame was received before, or belongs to another connection.
    #[error("replayed")]
    Replayed,
}

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Connector,
    Acceptor,
}

impl End {
    fn opposite(self) -> End {
        match self {
            End::Connector => End::Acceptor,
            End::Acceptor => End::Connector,
        }
    }
}

/// Returns the bytes covered by the seal of a frame.
fn sealed_content(envelope: &Envelope, acceptor_challenge: &Challenge, sender: End) -> Vec<u8> {
    let mut content = Vec::with_capacity(envelope.body.len() + 128);
    for part in [
        envelope.from.as_bytes(),
        envelope.to.as_bytes(),
        &envelope.challenge,
        acceptor_challenge,
        &envelope.body,
    ] {
        content.extend((part.len() as u64).to_le_bytes());
        content.extend(part);
    }
    content.extend(envelope.number.to_le_bytes());
    content.extend(envelope.version.to_le_bytes());
    content.push(u8::from(sender == End::Connector));
    content
}

/// Returns a challenge that was never used before, derived from a unique process ID and a number that the process uses once.
pub fn challenge(name: &str, process: u64, number: u64) -> Challenge {
    let content = [
        name.as_bytes(),
        &[0],
        &process.to_le_bytes(),
        &number.to_le_bytes(),
    ]
    .concat();
    let hash = blake3::derive_key("molelug council word 1", &content);
    let mut challenge = [0; CHALLENGE_BYTES];
    challenge.copy_from_slice(&hash[..CHALLENGE_BYTES]);
    challenge
}

/// The state of one end of a connection.
#[derive(Clone, Debug)]
pub struct Session {
    name: String,
    end: End,
    /// The acceptor's challenge; the connector learns it as the first bytes received.
    acceptor_challenge: Option<Challenge>,
    /// The connector's challenge; the acceptor learns it from the first frame.
    connector_challenge: Option<Challenge>,
    peer: Option<String>,
    /// The number of the last frame sent.
    sent: u64,
    /// The number of the last frame received.
    received: u64,
}

impl Session {
    /// Creates the session of the end that connects to `peer`.
    pub fn connector(name: &str, peer: &str, challenge: Challenge) -> Session {
        Session {
            name: name.into(),
            end: End::Connector,
            acceptor_challenge: None,
            connector_challenge: Some(challenge),
            peer: Some(peer.into()),
            sent: 0,
            received: 0,
        }
    }

    /// Creates the session of the accepting end, which has to send its challenge before any frame.
    pub fn acceptor(name: &str, challenge: Challenge) -> Session {
        Session {
            name: name.into(),
            end: End::Acceptor,
            acceptor_challenge: Some(challenge),
            connector_challenge: None,
            peer: None,
            sent: 0,
            received: 0,
        }
    }

    /// Returns the gateway at the other end: the intended peer for a connector, the authenticated one for an acceptor.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Returns whether frames can be sealed, that is, both challenges and the peer are known.
    pub fn is_open(&self) -> bool {
        self.acceptor_challenge.is_some()
            && self.connector_challenge.is_some()
            && self.peer.is_some()
    }

    /// Encodes and seals a frame. Returns `None` while the session is not open, or if the frame would be too long.
    pub fn seal_frame(&mut self, keys: &Keys, body: &Body) -> Option<Vec<u8>> {
        let acceptor_challenge = self.acceptor_challenge?;
        let connector_challenge = self.connector_challenge?;
        let to = self.peer.clone()?;
        let body = postcard::to_stdvec(body).ok()?;
        self.sent += 1;
        let mut envelope = Envelope {
            version: VERSION,
            from: self.name.clone(),
            to,
            challenge: connector_challenge.to_vec(),
            number: self.sent,
            body,
            seal: Vec::new(),
        };
        let content = sealed_content(&envelope, &acceptor_challenge, self.end);
        envelope.seal = keys.seal(FRAME_KIND, &content);
        let bytes = envelope.encode_to_vec();
        if bytes.len() > MAX_FRAME_BYTES {
            return None;
        }
        let length = (bytes.len() as u32).to_le_bytes();
        Some([&length[..], &bytes].concat())
    }

    /// Reads the first complete frame or challenge of the input. Returns its size in bytes and, for a frame, the body.
    /// Returns `None` if the input is incomplete.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`] if the frame is rejected.
    pub fn read_frame(
        &mut self,
        keys: &Keys,
        bytes: &[u8],
    ) -> Result<Option<(usize, Option<Body>)>, FrameError> {
        if self.acceptor_challenge.is_none() {
            let Some(challenge) = bytes.first_chunk::<CHALLENGE_BYTES>() else {
                return Ok(None);
            };
            self.acceptor_challenge = Some(*challenge);
            return Ok(Some((CHALLENGE_BYTES, None)));
        }
        let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let end = LENGTH_BYTES + length;
        let Some(frame) = bytes.get(LENGTH_BYTES..end) else {
            return Ok(None);
        };
        let body = self.open(keys, frame)?;
        Ok(Some((end, Some(body))))
    }

    fn open(&mut self, keys: &Keys, frame: &[u8]) -> Result<Body, FrameError> {
        let envelope = Envelope::decode(frame).map_err(|_| FrameError::Malformed)?;
        if envelope.version != VERSION {
            return Err(FrameError::Version);
        }
        if !self.accepts_sender(keys, &envelope.from) {
            return Err(FrameError::UnknownSender);
        }
        if envelope.to != self.name {
            return Err(FrameError::ReceiverMismatch);
        }
        let challenge: Challenge = envelope
            .challenge
            .as_slice()
            .try_into()
            .map_err(|_| FrameError::Malformed)?;
        let is_other_connection = self
            .connector_challenge
            .is_some_and(|known| known != challenge);
        // Numbers may have gaps, because a sealed frame can be withdrawn before it is sent.
        if is_other_connection || envelope.number <= self.received {
            return Err(FrameError::Replayed);
        }
        let acceptor_challenge = self.acceptor_challenge.ok_or(FrameError::Malformed)?;
        let content = sealed_content(&envelope, &acceptor_challenge, self.end.opposite());
        if !keys.check(&envelope.from, FRAME_KIND, &content, &envelope.seal) {
            return Err(FrameError::InvalidSeal);
        }
        let body = postcard::from_bytes(&envelope.body).map_err(|_| FrameError::Malformed)?;
        self.connector_challenge = Some(challenge);
        self.peer = Some(envelope.from);
        self.received = envelope.number;
        Ok(body)
    }

    fn accepts_sender(&self, keys: &Keys, from: &str) -> bool {
        let is_peer = self.peer.as_ref().is_none_or(|peer| peer == from);
        is_name(from) && keys.accepts_name(from) && is_peer
    }
}

/// Estimates the size in bytes of a frame between two gateways that share a key, for the emulator's traffic figures.
pub fn encoded_size(from: &str, to: &str, body: &Body) -> usize {
    let body_bytes = postcard::to_stdvec(body).map_or(0, |bytes| bytes.len());
    body_bytes + from.len() + to.len() + CHALLENGE_BYTES + ENVELOPE_OVERHEAD_BYTES
}
