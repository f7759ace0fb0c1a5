//! Busy threads that leave a process only a share of its core.

use std::io::Result;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use rustix::process::Pid;
use rustix::thread::{sched_setaffinity, CpuSet};

/// Iterations between two looks at whether to stop.
const SPINS: u32 = 10_000;

/// Busy threads on one core; they end when the value is dropped.
#[derive(Debug)]
pub struct BusyNeighbours {
    over: Arc<AtomicBool>,
}

impl BusyNeighbours {
    /// Starts busy threads on a core.
    pub fn start(core: usize, threads: usize) -> BusyNeighbours {
        let over = Arc::new(AtomicBool::new(false));
        for _ in 0..threads {
            let over = over.clone();
            std::thread::spawn(move || {
                // A thread that cannot be pinned would disturb other cores.
                if pin(None, core).is_err() {
                    return;
                }
                while !over.load(Ordering::Relaxed) {
                    for _ in 0..SPINS {
                        std::hint::spin_loop();
                    }
                }
            });
        }
        BusyNeighbours { over }
    }
}

impl Drop for BusyNeighbours {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// Pins a process, or the calling thread, to a core.
///
/// # Errors
///
/// The system refuses the core.
pub fn pin(process: Option<Pid>, core: usize) -> Result<()> {
    let mut cores = CpuSet::new();
    cores.set(core);
    Ok(sched_setaffinity(process, &cores)?)
}

/// The core of a gateway: the last ones, as the fakes and clients use the others.
pub fn core_of(gateway: usize) -> usize {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    (cores - 1).saturating_sub(gateway % cores)
}
