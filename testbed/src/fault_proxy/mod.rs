//! Links: a relay on loopback for each ordered pair of processes, whose two directions fail apart and while they run.
//!
//! A stream's relay knows the frames of the council's wire, so that it can lose, double or hold back whole ones; anything else
//! passes as it comes. A datagram's relay does the same with datagrams, and can put one behind the next.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molelug::consensus::wire::CHALLENGE_BYTES;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What one direction of a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing passes; what comes is held, and passes once this ends.
    pub cut: bool,
    /// Of a hundred frames or datagrams, so many get lost.
    pub lost: u32,
    /// Of a hundred, so many come twice.
    pub doubled: u32,
    /// Of a hundred datagrams, so many come behind the next one.
    pub behind: u32,
    /// Each comes so much later, milliseconds.
    pub delay_ms: u32,
    /// And up to so much more.
    pub jitter_ms: u32,
    /// Bytes a second at most; 0 for no bound.
    pub bytes_per_s: u32,
}

/// Which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From who connects.
    There,
    /// From who accepts.
    Back,
}

#[derive(Debug)]
struct Shared {
    faults: Mutex<[Faults; 2]>,
    /// Counts how often all connections were broken.
    broken: AtomicU64,
    /// New connections are taken and ended at once.
    refuses: AtomicBool,
    stop: AtomicBool,
    passed: AtomicU64,
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, [Faults; 2]> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One relay.
#[derive(Debug)]
pub struct Link {
    /// Where it is reached.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// How often a pump looks at what it may pass.
const LOOK: Duration = Duration::from_millis(2);

impl Link {
    fn shared() -> Arc<Shared> {
        Arc::new(Shared {
            faults: Mutex::default(),
            broken: AtomicU64::new(0),
            refuses: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            passed: AtomicU64::new(0),
        })
    }

    /// A relay for streams.
    pub fn stream(to: SocketAddr, seed: u64) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link {
            address: listener.local_addr()?,
            shared: Link::shared(),
        };
        let shared = link.shared.clone();
        listener.set_nonblocking(true)?;
        std::thread::spawn(move || {
            let mut number = seed;
            while !shared.stop.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((near, _)) if !shared.refuses.load(Ordering::Relaxed) => {
                        number = number.wrapping_add(1);
                        // One that cannot be reached is one whose connection ends.
                        if let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500))
                        {
                            let _ = join(near, far, number, &shared);
                        }
                    }
                    Ok(_) => {}
                    Err(_) => std::thread::sleep(LOOK),
                }
            }
        });
        Ok(link)
    }

    /// A relay for datagrams; answers go back to who sent last.
    pub fn datagram(to: SocketAddr, seed: u64) -> Result<Link> {
        let (near, far) = (
            UdpSocket::bind("127.0.0.1:0")?,
            UdpSocket::bind("127.0.0.1:0")?,
        );
        let link = Link {
            address: near.local_addr()?,
            shared: Link::shared(),
        };
        let last: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        for (way, from, out) in [
            (Way::There, near.try_clone()?, far.try_clone()?),
            (Way::Back, far, near),
        ] {
            from.set_read_timeout(Some(LOOK))?;
            let (shared, last) = (link.shared.clone(), last.clone());
            std::thread::spawn(move || {
                let mut queue = Queue::new(seed ^ way as u64, way, shared.clone());
                let mut bytes = [0; 2048];
                while !shared.stop.load(Ordering::Relaxed) {
                    if let Ok((n, source)) = from.recv_from(&mut bytes) {
                        if way == Way::There {
                            *last.lock().unwrap_or_else(PoisonError::into_inner) = Some(source);
                        }
                        queue.push(bytes[..n].to_vec(), true);
                    }
                    while let Some(bytes) = queue.due() {
                        let back = *last.lock().unwrap_or_else(PoisonError::into_inner);
                        let to = if way == Way::There { Some(to) } else { back };
                        // A datagram that cannot be sent is lost, as any may be.
                        to.map(|to| out.send_to(&bytes, to));
                    }
                }
            });
        }
        Ok(link)
    }

    /// What one direction does from now on.
    pub fn set(&self, way: Way, faults: Faults) {
        self.shared.faults()[way as usize] = faults;
    }

    /// What both directions do from now on.
    pub fn set_both(&self, faults: Faults) {
        *self.shared.faults() = [faults; 2];
    }

    /// Ends all connections; what was on its way is lost.
    pub fn sever(&self) {
        self.shared.broken.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether new connections are ended as soon as they are taken.
    pub fn refuse(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::Relaxed);
    }

    /// Frames, datagrams or chunks that passed.
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::Relaxed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// What waits to be passed on.
struct Queue {
    way: Way,
    shared: Arc<Shared>,
    random: ChaCha8Rng,
    waits: VecDeque<(Instant, Vec<u8>)>,
    free: Instant,
}

impl Queue {
    fn new(seed: u64, way: Way, shared: Arc<Shared>) -> Queue {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Queue {
            way,
            shared,
            random,
            waits: VecDeque::new(),
            free: Instant::now(),
        }
    }

    fn chance(&mut self, of_hundred: u32) -> bool {
        of_hundred > 0 && self.random.next_u32() % 100 < of_hundred
    }

    /// Takes one; `whole` if it may be lost, doubled or put behind.
    fn push(&mut self, bytes: Vec<u8>, whole: bool) {
        let f = self.shared.faults()[self.way as usize];
        if whole && self.chance(f.lost) {
            return;
        }
        let jitter = self.random.next_u32() % (f.jitter_ms + 1);
        let at = Instant::now() + Duration::from_millis(u64::from(f.delay_ms + jitter));
        // In its order, unless put behind.
        let at = self.waits.back().map_or(at, |(last, _)| at.max(*last));
        if whole && self.chance(f.doubled) {
            self.waits.push_back((at, bytes.clone()));
        }
        self.waits.push_back((at, bytes));
        let n = self.waits.len();
        if whole && n >= 2 && self.chance(f.behind) {
            self.waits.swap(n - 1, n - 2);
        }
    }

    fn due(&mut self) -> Option<Vec<u8>> {
        let f = self.shared.faults()[self.way as usize];
        let now = Instant::now();
        if f.cut || now < self.free || self.waits.front().is_none_or(|(at, _)| now < *at) {
            return None;
        }
        let (_, bytes) = self.waits.pop_front()?;
        if f.bytes_per_s > 0 {
            self.free =
                now + Duration::from_secs_f64(bytes.len() as f64 / f64::from(f.bytes_per_s));
        }
        self.shared.passed.fetch_add(1, Ordering::Relaxed);
        Some(bytes)
    }
}

fn join(near: TcpStream, far: TcpStream, seed: u64, shared: &Arc<Shared>) -> Result<()> {
    let born = shared.broken.load(Ordering::Relaxed);
    for s in [&near, &far] {
        s.set_nodelay(true)?;
        s.set_read_timeout(Some(LOOK))?;
    }
    let pairs = [
        (Way::There, near.try_clone()?, far.try_clone()?),
        (Way::Back, far, near),
    ];
    for (way, from, to) in pairs {
        let shared = shared.clone();
        std::thread::spawn(move || pump(way, from, to, seed ^ way as u64, &shared, born));
    }
    Ok(())
}

fn pump(
    way: Way,
    mut from: TcpStream,
    mut to: TcpStream,
    seed: u64,
    shared: &Arc<Shared>,
    born: u64,
) {
    let mut queue = Queue::new(seed, way, shared.clone());
    let (mut held, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    // Who accepts says a word before its frames.
    let mut word = if way == Way::Back { CHALLENGE_BYTES } else { 0 };
    let mut ended = false;
    while !shared.stop.load(Ordering::Relaxed) && shared.broken.load(Ordering::Relaxed) == born {
        if !ended && queue.waits.len() < 4096 {
            match from.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(n) => held.extend(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => ended = true,
            }
        } else {
            std::thread::sleep(LOOK);
        }
        while let Some((size, whole)) = next(&held, &mut word) {
            let rest = held.split_off(size);
            queue.push(std::mem::replace(&mut held, rest), whole);
        }
        while let Some(bytes) = queue.due() {
            if to.write_all(&bytes).is_err() {
                ended = true;
                queue.waits.clear();
            }
        }
        if ended && queue.waits.is_empty() {
            break;
        }
    }
    // Both sides learn of it; one that has gone already cannot.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// The size of what stands whole at the beginning, and whether it is a frame.
fn next(held: &[u8], word: &mut usize) -> Option<(usize, bool)> {
    if *word > 0 {
        let size = held.len().min(*word);
        *word -= size;
        return (size > 0).then_some((size, false));
    }
    let length = u32::from_le_bytes(*held.first_chunk::<4>()?) as usize;
    (held.len() >= 4 + length).then_some((4 + length, true))
}

#[cfg(test)]
mod tests;
