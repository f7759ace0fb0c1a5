//! Tests of sealed frames and of the sessions that seal them.

use super::{challenge, Body, FrameError, LeaseEffect, Session, CHALLENGE_BYTES, MAX_FRAME_BYTES};
use crate::membership::keys::tests::each;

fn session_pair() -> (Session, Session) {
    let mut a = Session::connector("a", "b", challenge("a", 1, 1));
    let b = Session::acceptor("b", challenge("b", 2, 1));
    assert_eq!(
        a.read_frame(&each(0, 2), &challenge("b", 2, 1)),
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
fn frame_is_accepted_once_by_receiver_on_connection() {
    let (keys_a, keys_b) = (each(0, 2), each(1, 2));
    let (mut a, mut b) = session_pair();
    let one = a.seal_frame(&keys_a, &effect(1)).unwrap();
    let two = a.seal_frame(&keys_a, &effect(2)).unwrap();
    for cut in 0..one.len() {
        assert_eq!(b.clone().read_frame(&keys_b, &one[..cut]), Ok(None));
    }
    assert_eq!(
        b.read_frame(&keys_b, &one),
        Ok(Some((one.len(), Some(effect(1)))))
    );
    assert_eq!(
        b.clone().read_frame(&keys_b, &one),
        Err(FrameError::Replayed)
    );
    // A withdrawn frame leaves a gap in the numbers; the next frame is accepted.
    let three = a.seal_frame(&keys_a, &effect(3)).unwrap();
    let mut later = b.clone();
    assert!(later.read_frame(&keys_b, &three).is_ok());
    assert_eq!(later.read_frame(&keys_b, &two), Err(FrameError::Replayed));
    // A reply is accepted; a frame sent back to its own sender is rejected.
    let reply = b.seal_frame(&keys_b, &effect(9)).unwrap();
    assert_eq!(
        a.clone().read_frame(&keys_a, &reply),
        Ok(Some((reply.len(), Some(effect(9)))))
    );
    assert!(a.read_frame(&keys_a, &two).is_err());
    // The frame is rejected on another connection and by another receiver.
    let mut other = Session::acceptor("b", challenge("b", 2, 2));
    assert_eq!(
        other.read_frame(&keys_b, &one),
        Err(FrameError::InvalidSeal)
    );
    let mut other = Session::acceptor("c", challenge("b", 2, 1));
    assert_eq!(
        other.read_frame(&keys_b, &one),
        Err(FrameError::ReceiverMismatch)
    );
}

#[test]
fn malformed_oversized_and_tampered_frames_are_rejected() {
    let (keys_a, keys_b) = (each(0, 2), each(1, 2));
    let (mut a, b) = session_pair();
    let mut frame = a.seal_frame(&keys_a, &effect(1)).unwrap();
    let long = [&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes()[..], &[0; 9]].concat();
    assert_eq!(
        b.clone().read_frame(&keys_b, &long),
        Err(FrameError::TooLong)
    );
    assert_eq!(
        b.clone()
            .read_frame(&keys_b, &[3, 0, 0, 0, 0xff, 0xff, 0xff]),
        Err(FrameError::Malformed)
    );
    for at in 4..frame.len() {
        frame[at] ^= 1;
        assert!(
            b.clone().read_frame(&keys_b, &frame).is_err(),
            "changed byte {at} was accepted"
        );
        frame[at] ^= 1;
    }
    assert!(b.clone().read_frame(&keys_b, &frame).is_ok());
    let huge = Body::Raft {
        generation: 1,
        from: 1,
        boots: 1,
        process: 1,
        message: vec![0; MAX_FRAME_BYTES],
    };
    assert_eq!(a.seal_frame(&keys_a, &huge), None);
}
