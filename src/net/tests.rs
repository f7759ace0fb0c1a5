//! Frames that leave whole or not at all, and buffers that stay within their limit.

use super::*;

/// A peer that takes so many bytes and then blocks.
struct Narrow(usize, Vec<u8>);
impl Write for Narrow {
    fn write(&mut self, b: &[u8]) -> io::Result<usize> {
        if self.0 == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = b.len().min(self.0);
        self.0 -= n;
        self.1.extend(&b[..n]);
        Ok(n)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_frame_is_taken_back_whole_or_written_whole() {
    let (mut out, mut peer) = (Outbox::default(), Narrow(3, Vec::new()));
    out.push(1, b"first".to_vec());
    out.push(2, b"second".to_vec());
    assert!(!out.flush(&mut peer).unwrap());
    assert!(!out.withdraw(1), "three bytes of it have left");
    assert!(out.is_unsent(2) && out.withdraw(2) && !out.is_unsent(2));
    peer.0 = 100;
    assert!(out.flush(&mut peer).unwrap());
    assert_eq!((peer.1.as_slice(), out.len()), (&b"first"[..], 0));
}

#[test]
fn a_buffer_grows_to_its_limit_and_is_compacted_in_place() {
    let mut b = Buffer::default();
    let source = vec![7u8; 10_000];
    let mut from = &source[..];
    while b.fill(&mut from, 5_000).unwrap() == Fill::Received {}
    assert_eq!(b.bytes().len(), 5_000);
    b.consume(4_000);
    while b.fill(&mut from, 5_000).unwrap() == Fill::Received {}
    assert_eq!(
        (b.bytes().len(), b.data.len()),
        (5_000, 5_000),
        "room was made by moving, not by growing"
    );
}
