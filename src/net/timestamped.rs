//! Reads from a socket together with the time at which the system received the bytes.

use std::io::{self, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};

use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;

use super::arrival::ReceptionTime;
use crate::api::Micros;

const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// Asks the system for times of reception on a socket, and on the connections that a listener
/// accepts. Where it has none, input is dated by the event loop's passes alone.
pub fn enable_reception_times(socket: &impl AsFd) {
    let _ = setsockopt(&socket.as_fd(), sockopt::ReceiveTimestampns, &true);
}

/// A reader of a stream that keeps the time of reception of the last bytes read.
#[derive(Debug)]
pub struct TimestampedReader<'a> {
    stream: &'a TcpStream,
    /// The time at which the last bytes were received, if the system told.
    pub received: Option<ReceptionTime>,
}

impl<'a> TimestampedReader<'a> {
    /// Reads from a stream.
    pub fn new(stream: &'a TcpStream) -> TimestampedReader<'a> {
        TimestampedReader {
            stream,
            received: None,
        }
    }
}

impl Read for TimestampedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut control = nix::cmsg_space!(TimeSpec);
        let mut slices = [IoSliceMut::new(buffer)];
        let message = recvmsg::<()>(
            self.stream.as_raw_fd(),
            &mut slices,
            Some(&mut control),
            MsgFlags::empty(),
        )?;
        let size = message.bytes;
        let controls = message.cmsgs().into_iter().flatten();
        for control in controls {
            if let ControlMessageOwned::ScmTimestampns(at) = control {
                self.received = reception_time(at);
            }
        }
        Ok(size)
    }
}

fn reception_time(at: TimeSpec) -> Option<ReceptionTime> {
    let seconds = Micros::try_from(at.tv_sec()).ok()?;
    let micros = Micros::try_from(at.tv_nsec()).ok()? / NANOS_PER_MICRO;
    Some(ReceptionTime(
        seconds
            .checked_mul(MICROS_PER_SECOND)?
            .checked_add(micros)?,
    ))
}
