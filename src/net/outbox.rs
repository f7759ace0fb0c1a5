//! A connection's output queue of frames, each written completely or not at all.

use std::collections::VecDeque;
use std::io::{self, Write};

/// The tag of frames that cannot be withdrawn.
pub const UNTAGGED_FRAME: u64 = 0;
/// The maximum number of frames per vectored write.
const MAX_FRAMES_PER_WRITE: usize = 64;

/// A frame that has not been written completely.
#[derive(Debug)]
struct Frame {
    tag: u64,
    bytes: Vec<u8>,
    sent: usize,
    /// Whether the frame is included in [`Outbox::take_written`].
    counts: bool,
}

/// A queue of frames to be written. Each frame is written completely, unless it is withdrawn before its first byte.
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

    /// Returns the number of counted frames that have been written completely since the last call.
    pub fn take_written(&mut self) -> u64 {
        std::mem::take(&mut self.written)
    }

    /// Removes a frame if no byte of it has been written; returns whether it was removed. A partially written frame stays
    /// queued, as the peer must receive it completely.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        let Some(at) = self.frames.iter().position(|f| f.tag == tag && f.sent == 0) else {
            return false;
        };
        if let Some(frame) = self.frames.remove(at) {
            self.bytes -= frame.bytes.len();
        }
        true
    }

    /// Returns whether a frame is queued and no byte of it has been written.
    pub fn is_unsent(&self, tag: u64) -> bool {
        self.frames.iter().any(|f| f.tag == tag && f.sent == 0)
    }

    /// Returns the tags of the counted frames of which no byte has been written.
    pub fn unsent_counted_tags(&self) -> impl Iterator<Item = u64> + '_ {
        let unsent = |frame: &&Frame| frame.counts && frame.sent == 0;
        self.frames.iter().filter(unsent).map(|frame| frame.tag)
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Returns the number of unwritten bytes.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Writes as much as the writer accepts, several frames at a time; returns `false` if some is left.
    ///
    /// # Errors
    ///
    /// The writer's error. Interrupted writes are retried.
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

    /// Records that the first `sent` bytes were written and removes the completed frames.
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

    /// Removes and returns all unwritten bytes; used by tests that compare recorded exchanges.
    pub fn drain(&mut self) -> Vec<u8> {
        let mut out = Vec::new();
        // Writing to a Vec cannot fail.
        let _ = self.flush(&mut out);
        out
    }
}

#[cfg(test)]
mod tests;
