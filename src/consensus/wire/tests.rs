//! Tests of sealed frames and of the sessions that seal them.

use super::{challenge, Body, FrameError, LeaseEffect, Session, CHALLENGE_BYTES, MAX_FRAME_BYTES};
use crate::membership::keys::tests::each;

fn session_pair() -> (Session, Session) {
    let mut a = Session::connector("a", "b", challenge("a", 1, 1));
    let b = Session::acceptor("b", challenge("b", 2, 1));
    assert_eq!(
        a.take(&each(0, 2), &challenge("b", 2, 1)),
        Ok(Some((CHALLENGE_BYTES, None)))
    );
    (a, b)
}

fn effect(number: u64) -> Body {
    Body::Effect(LeaseEffect {
        lease: "d".into(),
        term: 3,
        holder: "a".into(),
        number,
        content: vec![7; 9],
    })
}

#[test]
fn frame_counts_once_on_its_connection_for_its_receiver() {
    let (ka, kb) = (each(0, 2), each(1, 2));
    let (mut a, mut b) = session_pair();
    let one = a.pack(&ka, &effect(1)).unwrap();
    let two = a.pack(&ka, &effect(2)).unwrap();
    for cut in 0..one.len() {
        assert_eq!(b.clone().take(&kb, &one[..cut]), Ok(None));
    }
    assert_eq!(b.take(&kb, &one), Ok(Some((one.len(), Some(effect(1))))));
    assert_eq!(b.clone().take(&kb, &one), Err(FrameError::Replayed));
    // One that was taken back is missing; the next counts.
    let three = a.pack(&ka, &effect(3)).unwrap();
    let mut later = b.clone();
    assert!(later.take(&kb, &three).is_ok());
    assert_eq!(later.take(&kb, &two), Err(FrameError::Replayed));
    // Answers go back; one's own frame sent back does not count.
    let reply = b.pack(&kb, &effect(9)).unwrap();
    assert_eq!(
        a.clone().take(&ka, &reply),
        Ok(Some((reply.len(), Some(effect(9)))))
    );
    assert!(a.take(&ka, &two).is_err());
    // On another connection it is refused, and by another reader.
    let mut other = Session::acceptor("b", challenge("b", 2, 2));
    assert_eq!(other.take(&kb, &one), Err(FrameError::InvalidSeal));
    let mut other = Session::acceptor("c", challenge("b", 2, 1));
    assert_eq!(other.take(&kb, &one), Err(FrameError::ReceiverMismatch));
}

#[test]
fn malformed_oversized_and_tampered_frames_are_rejected() {
    let (ka, kb) = (each(0, 2), each(1, 2));
    let (mut a, b) = session_pair();
    let mut frame = a.pack(&ka, &effect(1)).unwrap();
    let long = [&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes()[..], &[0; 9]].concat();
    assert_eq!(b.clone().take(&kb, &long), Err(FrameError::TooLong));
    assert_eq!(
        b.clone().take(&kb, &[3, 0, 0, 0, 0xff, 0xff, 0xff]),
        Err(FrameError::Malformed)
    );
    for at in 4..frame.len() {
        frame[at] ^= 1;
        assert!(b.clone().take(&kb, &frame).is_err(), "byte {at} changed");
        frame[at] ^= 1;
    }
    assert!(b.clone().take(&kb, &frame).is_ok());
    let huge = Body::Raft {
        generation: 1,
        from: 1,
        boots: 1,
        process: 1,
        message: vec![0; MAX_FRAME_BYTES],
    };
    assert_eq!(a.pack(&ka, &huge), None);
}
