//! Fault-injecting relays on loopback, one for each ordered pair of processes. The faults of the
//! two directions are set separately and can change while the relay runs.
//!
//! A stream relay parses the frames of the consensus wire protocol, so that it can drop, duplicate,
//! delay or reorder complete frames; the challenge before the first frame is only delayed. A
//! datagram relay does the same with datagrams.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molelug::consensus::wire::CHALLENGE_BYTES;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing passes; data is queued and passes after the cut ends.
    pub cut: bool,
    /// Percentage of frames or datagrams that are dropped.
    pub drop_percent: u32,
    /// Percentage of frames or datagrams that are delivered twice.
    pub duplicate_percent: u32,
    /// Percentage of frames or datagrams that swap places with the one queued before.
    pub reorder_percent: u32,
    /// Fixed delay in milliseconds.
    pub delay_ms: u32,
    /// Maximum random delay on top, in milliseconds.
    pub jitter_ms: u32,
    /// Maximum bytes per second; 0 for no limit.
    pub bytes_per_s: u32,
}

/// Direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the accepting side.
    Forward,
    /// From the accepting side to the connecting side.
    Reverse,
}

#[derive(Debug)]
struct Shared {
    faults: Mutex<[Faults; 2]>,
    /// Number of times that all connections were closed.
    sever_count: AtomicU64,
    /// Set while new connections are accepted and closed at once.
    refuses: AtomicBool,
    stop: AtomicBool,
    /// Frames, datagrams or chunks forwarded.
    passed: AtomicU64,
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, [Faults; 2]> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A relay that forwards to one address.
#[derive(Debug)]
pub struct Link {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Interval at which the relay threads poll for data and for changed faults.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Link {
    fn shared() -> Arc<Shared> {
        Arc::new(Shared {
            faults: Mutex::default(),
            sever_count: AtomicU64::new(0),
            refuses: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            passed: AtomicU64::new(0),
        })
    }

    /// Starts a relay for streams.
    pub fn stream(to: SocketAddr, seed: u64) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link {
            address: listener.local_addr()?,
            shared: Link::shared(),
        };
        let shared = link.shared.clone();
        listener.set_nonblocking(true)?;
        std::thread::spawn(move || {
            let mut connection_seed = seed;
            while !shared.stop.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((near, _)) if !shared.refuses.load(Ordering::Relaxed) => {
                        connection_seed = connection_seed.wrapping_add(1);
                        // If the target is unreachable, the accepted connection is closed.
                        if let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500))
                        {
                            let _ = relay_connection(near, far, connection_seed, &shared);
                        }
                    }
                    Ok(_) => {}
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(link)
    }

    /// Starts a relay for datagrams; answers go to the most recent sender.
    pub fn datagram(to: SocketAddr, seed: u64) -> Result<Link> {
        let (near, far) = (
            UdpSocket::bind("127.0.0.1:0")?,
            UdpSocket::bind("127.0.0.1:0")?,
        );
        let link = Link {
            address: near.local_addr()?,
            shared: Link::shared(),
        };
        let last_sender: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        for (way, from, out) in [
            (Direction::Forward, near.try_clone()?, far.try_clone()?),
            (Direction::Reverse, far, near),
        ] {
            from.set_read_timeout(Some(POLL_INTERVAL))?;
            let (shared, last_sender) = (link.shared.clone(), last_sender.clone());
            std::thread::spawn(move || {
                let mut queue = Queue::new(seed ^ way as u64, way, shared.clone());
                let mut bytes = [0; 2048];
                while !shared.stop.load(Ordering::Relaxed) {
                    if let Ok((n, source)) = from.recv_from(&mut bytes) {
                        if way == Direction::Forward {
                            *last_sender.lock().unwrap_or_else(PoisonError::into_inner) =
                                Some(source);
                        }
                        queue.push(bytes[..n].to_vec(), true);
                    }
                    while let Some(bytes) = queue.pop_due() {
                        let back = *last_sender.lock().unwrap_or_else(PoisonError::into_inner);
                        let to = if way == Direction::Forward {
                            Some(to)
                        } else {
                            back
                        };
                        // A datagram that cannot be sent is lost; UDP allows that.
                        to.map(|to| out.send_to(&bytes, to));
                    }
                }
            });
        }
        Ok(link)
    }

    /// Sets the faults of one direction.
    pub fn set(&self, way: Direction, faults: Faults) {
        self.shared.faults()[way as usize] = faults;
    }

    /// Sets the faults of both directions.
    pub fn set_both(&self, faults: Faults) {
        *self.shared.faults() = [faults; 2];
    }

    /// Closes all connections; data in transit is lost.
    pub fn sever(&self) {
        self.shared.sever_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn refuse(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::Relaxed);
    }

    /// Returns the number of frames, datagrams or chunks forwarded.
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::Relaxed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// Data of one direction that waits to be forwarded.
struct Queue {
    way: Direction,
    shared: Arc<Shared>,
    random: ChaCha8Rng,
    pending: VecDeque<(Instant, Vec<u8>)>,
    next_send_at: Instant,
}

impl Queue {
    fn new(seed: u64, way: Direction, shared: Arc<Shared>) -> Queue {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Queue {
            way,
            shared,
            random,
            pending: VecDeque::new(),
            next_send_at: Instant::now(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.next_u32() % 100 < percent
    }

    /// Queues data. `whole` marks a complete frame or datagram, which may be dropped, duplicated or
    /// reordered.
    fn push(&mut self, bytes: Vec<u8>, whole: bool) {
        let f = self.shared.faults()[self.way as usize];
        if whole && self.chance(f.drop_percent) {
            return;
        }
        let jitter = self.random.next_u32() % (f.jitter_ms + 1);
        let at = Instant::now() + Duration::from_millis(u64::from(f.delay_ms + jitter));
        // Jitter does not reorder: nothing is due before the data queued earlier.
        let at = self.pending.back().map_or(at, |(last, _)| at.max(*last));
        if whole && self.chance(f.duplicate_percent) {
            self.pending.push_back((at, bytes.clone()));
        }
        self.pending.push_back((at, bytes));
        let n = self.pending.len();
        if whole && n >= 2 && self.chance(f.reorder_percent) {
            self.pending.swap(n - 1, n - 2);
        }
    }

    fn pop_due(&mut self) -> Option<Vec<u8>> {
        let f = self.shared.faults()[self.way as usize];
        let now = Instant::now();
        if f.cut || now < self.next_send_at || self.pending.front().is_none_or(|(at, _)| now < *at)
        {
            return None;
        }
        let (_, bytes) = self.pending.pop_front()?;
        if f.bytes_per_s > 0 {
            self.next_send_at =
                now + Duration::from_secs_f64(bytes.len() as f64 / f64::from(f.bytes_per_s));
        }
        self.shared.passed.fetch_add(1, Ordering::Relaxed);
        Some(bytes)
    }
}

fn relay_connection(
    near: TcpStream,
    far: TcpStream,
    seed: u64,
    shared: &Arc<Shared>,
) -> Result<()> {
    let initial_sever_count = shared.sever_count.load(Ordering::Relaxed);
    for s in [&near, &far] {
        s.set_nodelay(true)?;
        s.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    let pairs = [
        (Direction::Forward, near.try_clone()?, far.try_clone()?),
        (Direction::Reverse, far, near),
    ];
    for (way, from, to) in pairs {
        let shared = shared.clone();
        std::thread::spawn(move || {
            pump(
                way,
                from,
                to,
                seed ^ way as u64,
                &shared,
                initial_sever_count,
            )
        });
    }
    Ok(())
}

fn pump(
    way: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
    seed: u64,
    shared: &Arc<Shared>,
    initial_sever_count: u64,
) {
    let mut queue = Queue::new(seed, way, shared.clone());
    let (mut buffer, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    // The accepting side sends a challenge before its frames.
    let mut challenge_left = if way == Direction::Reverse {
        CHALLENGE_BYTES
    } else {
        0
    };
    let mut ended = false;
    while !shared.stop.load(Ordering::Relaxed)
        && shared.sever_count.load(Ordering::Relaxed) == initial_sever_count
    {
        if !ended && queue.pending.len() < 4096 {
            match from.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(n) => buffer.extend(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => ended = true,
            }
        } else {
            std::thread::sleep(POLL_INTERVAL);
        }
        while let Some((size, whole)) = next_unit(&buffer, &mut challenge_left) {
            let rest = buffer.split_off(size);
            queue.push(std::mem::replace(&mut buffer, rest), whole);
        }
        while let Some(bytes) = queue.pop_due() {
            if to.write_all(&bytes).is_err() {
                ended = true;
                queue.pending.clear();
            }
        }
        if ended && queue.pending.is_empty() {
            break;
        }
    }
    // Closes both sides; one may already be closed.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Returns the size of the first complete unit in `buffer`, and whether it is a frame.
/// `challenge_left` counts the challenge bytes still to come.
fn next_unit(buffer: &[u8], challenge_left: &mut usize) -> Option<(usize, bool)> {
    if *challenge_left > 0 {
        let size = buffer.len().min(*challenge_left);
        *challenge_left -= size;
        return (size > 0).then_some((size, false));
    }
    let length = u32::from_le_bytes(*buffer.first_chunk::<4>()?) as usize;
    (buffer.len() >= 4 + length).then_some((4 + length, true))
}

#[cfg(test)]
mod tests;
