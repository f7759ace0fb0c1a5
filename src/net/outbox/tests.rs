//! Tests of the output queue.

use super::*;

/// A writer that accepts `capacity_bytes` bytes and then blocks.
struct ThrottledPeer {
    capacity_bytes: usize,
    received: Vec<u8>,
}

impl Write for ThrottledPeer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.capacity_bytes == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let taken = bytes.len().min(self.capacity_bytes);
        self.capacity_bytes -= taken;
        self.received.extend(&bytes[..taken]);
        Ok(taken)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn frame_is_withdrawn_or_written_completely() {
    let mut outbox = Outbox::default();
    let mut peer = ThrottledPeer {
        capacity_bytes: 3,
        received: Vec::new(),
    };
    outbox.push(1, b"first".to_vec());
    outbox.push(2, b"second".to_vec());
    assert!(!outbox.flush(&mut peer).unwrap());
    assert!(
        !outbox.withdraw(1),
        "a partially written frame cannot be withdrawn"
    );
    assert!(outbox.is_unsent(2) && outbox.withdraw(2) && !outbox.is_unsent(2));
    peer.capacity_bytes = 100;
    assert!(outbox.flush(&mut peer).unwrap());
    assert_eq!((peer.received.as_slice(), outbox.len()), (&b"first"[..], 0));
}
