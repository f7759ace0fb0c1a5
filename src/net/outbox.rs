//! A connection's output: a queue of frames, each written completely or not at all.

use std::collections::VecDeque;
use std::io::{self, Write};

/// The tag of frames that are never withdrawn.
pub const UNTAGGED_FRAME: u64 = 0;
/// The most frames that are handed to the socket in one write.
const MAX_FRAMES_PER_WRITE: usize = 64;

/// A frame that waits to be written, or is being written.
#[derive(Debug)]
struct Frame {
    tag: u64,
    bytes: Vec<u8>,
    sent: usize,
    /// Whether it is counted once it has been written completely.
    counts: bool,
}

/// Frames that wait to be written. A frame is written completely or, withdrawn, not at all.
#[derive(Debug, Default)]
pub struct Outbox {
    frames: VecDeque<Frame>,
    bytes: usize,
    written: u64,
}

impl Outbox {
    /// Queues a frame.
    pub fn push(&mut self, tag: u64, bytes: Vec<u8>) {
        self.queue(Frame {
            tag,
            bytes,
            sent: 0,
            counts: false,
        });
    }

    /// Queues a frame that is counted once its last byte has been written; see [`Outbox::take_written`].
    pub fn push_counted(&mut self, tag: u64, bytes: Vec<u8>) {
        self.queue(Frame {
            tag,
            bytes,
            sent: 0,
            counts: true,
        });
    }

    fn queue(&mut self, frame: Frame) {
        self.bytes += frame.bytes.len();
        self.frames.push_back(frame);
    }

    /// How many counted frames have been written completely since the last call.
    pub fn take_written(&mut self) -> u64 {
        std::mem::take(&mut self.written)
    }

    /// Withdraws a frame if not one byte of it has been written. Guards against half a frame: one that has been
    /// written in part stays and is written to its end.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        let Some(at) = self.frames.iter().position(|f| f.tag == tag && f.sent == 0) else {
            return false;
        };
        if let Some(frame) = self.frames.remove(at) {
            self.bytes -= frame.bytes.len();
        }
        true
    }

    /// Whether a frame still waits with none of its bytes written.
    pub fn is_unsent(&self, tag: u64) -> bool {
        self.frames.iter().any(|f| f.tag == tag && f.sent == 0)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Writes what the peer takes, several frames at once; `false` if something is left.
    ///
    /// # Errors
    ///
    /// The writer's own, but for interruptions, after which it writes again.
    pub fn flush(&mut self, to: &mut impl Write) -> io::Result<bool> {
        while !self.frames.is_empty() {
            let slices: Vec<io::IoSlice<'_>> = self
                .frames
                .iter()
                .take(MAX_FRAMES_PER_WRITE)
                .map(|frame| io::IoSlice::new(&frame.bytes[frame.sent..]))
                .collect();
            match to.write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(sent) => self.record_sent(sent),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Notes that so many bytes of the first frames were written, and drops the frames that are complete.
    fn record_sent(&mut self, mut sent: usize) {
        while let Some(frame) = self.frames.front_mut().filter(|_| sent > 0) {
            let of_frame = sent.min(frame.bytes.len() - frame.sent);
            frame.sent += of_frame;
            sent -= of_frame;
            self.bytes -= of_frame;
            if frame.sent == frame.bytes.len() {
                self.written += u64::from(frame.counts);
                self.frames.pop_front();
            }
        }
    }

    /// The bytes that wait, as they would be written; for recorded exchanges.
    pub fn drain(&mut self) -> Vec<u8> {
        let mut out = Vec::new();
        // A Vec takes everything; there is no error to handle.
        let _ = self.flush(&mut out);
        out
    }
}

#[cfg(test)]
mod tests;
