//! Tests of `fault_proxy`.

use super::*;

/// Starts a server that sends a challenge and then echoes the bytes it receives.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = s.write_all(&[7; CHALLENGE_BYTES]);
                let mut bytes = [0; 512];
                while let Ok(n @ 1..) = s.read(&mut bytes) {
                    let _ = s.write_all(&bytes[..n]);
                }
            });
        }
    });
    at
}

fn frame(n: u8) -> Vec<u8> {
    [&3u32.to_le_bytes()[..], &[n; 3]].concat()
}

fn connect(link: &Link) -> TcpStream {
    let mut s = TcpStream::connect(link.address).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut challenge = [0; CHALLENGE_BYTES];
    s.read_exact(&mut challenge).unwrap();
    assert_eq!(challenge, [7; CHALLENGE_BYTES]);
    s
}

fn read(s: &mut TcpStream) -> u8 {
    let mut bytes = [0; 7];
    s.read_exact(&mut bytes).unwrap();
    bytes[4]
}

#[test]
fn stream_relay_applies_faults_per_direction() {
    let link = Link::stream(echo(), 1).unwrap();
    let mut s = connect(&link);
    s.write_all(&frame(1)).unwrap();
    assert_eq!(read(&mut s), 1);
    link.set(
        Direction::Forward,
        Faults {
            drop_percent: 100,
            ..Faults::default()
        },
    );
    s.write_all(&frame(2)).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    link.set(
        Direction::Forward,
        Faults {
            duplicate_percent: 100,
            ..Faults::default()
        },
    );
    s.write_all(&frame(3)).unwrap();
    assert_eq!((read(&mut s), read(&mut s)), (3, 3));
    // A cut on the way back holds the frame; it arrives after the cut ends.
    link.set_both(Faults::default());
    link.set(
        Direction::Reverse,
        Faults {
            cut: true,
            ..Faults::default()
        },
    );
    s.write_all(&frame(4)).unwrap();
    s.set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    assert!(s.read(&mut [0; 8]).is_err());
    link.set(Direction::Reverse, Faults::default());
    s.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    assert_eq!(read(&mut s), 4);
    link.sever();
    assert_eq!(s.read(&mut [0; 8]).unwrap_or(0), 0);
    link.refuse(true);
    let mut s = TcpStream::connect(link.address).unwrap();
    assert_eq!(s.read(&mut [0; 8]).unwrap_or(0), 0);
}

#[test]
fn reordered_datagram_arrives_after_the_next() {
    let (a, b) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        UdpSocket::bind("127.0.0.1:0").unwrap(),
    );
    b.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let link = Link::datagram(b.local_addr().unwrap(), 1).unwrap();
    link.set(
        Direction::Forward,
        Faults {
            reorder_percent: 100,
            delay_ms: 100,
            ..Faults::default()
        },
    );
    a.send_to(b"1", link.address).unwrap();
    a.send_to(b"2", link.address).unwrap();
    let mut got = [0; 2];
    assert_eq!(
        b.recv(&mut got[..1]).unwrap() + b.recv(&mut got[1..]).unwrap(),
        2
    );
    assert_eq!(&got, b"21");
    assert_eq!(link.passed(), 2);
}
