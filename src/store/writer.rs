//! The one thread that writes: it takes what waits, many operations to one commit, and tells the loop.
//!
//! After an error nothing that the operations asked for counts as kept. What only asks, or must not be done unless
//! it is kept, is told the error; what has happened and must be kept waits here, in its order, until the file can
//! be opened again. It is bounded by what was under way when the disk failed, as nothing new is taken meanwhile.

use std::collections::VecDeque;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use super::disk::Disk;
use super::records::{Op, Reply, StoreError};
use crate::clock::Clock;

/// Operations that one commit takes at most.
const MOST_OPS: usize = 512;
/// How long after an error the file is opened anew.
const AGAIN: Duration = Duration::from_millis(500);

/// Opens the store anew.
pub type StoreOpener = Box<dyn FnMut() -> Result<Disk, StoreError> + Send>;
/// Where answers go: the number of the question, and the answer.
pub type ReplyHandler = Box<dyn FnMut(u64, Result<Reply, StoreError>) + Send>;

enum Job {
    Op(u64, Op),
    /// What was read beside the thread.
    Read(u64, Result<Reply, StoreError>),
    Stop,
}

/// The way to the thread.
#[derive(Debug)]
pub struct Writer {
    jobs: Sender<Job>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Begins the thread over a store that is open.
    pub fn start(
        disk: Disk,
        opener: StoreOpener,
        answered: ReplyHandler,
    ) -> std::io::Result<Writer> {
        let (jobs, waits) = mpsc::channel();
        let room = Room {
            disk: Some(disk),
            opener,
            answered,
            kept: VecDeque::new(),
            clock: Clock::system(),
            jobs: jobs.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("store".into())
            .spawn(move || room.run(&waits))?;
        Ok(Writer {
            jobs,
            thread: Some(thread),
        })
    }

    /// Asks for something; the answer comes under the number.
    pub fn submit(&self, number: u64, op: Op) {
        // A thread that is gone answers nothing; the process is at its end then.
        let _ = self.jobs.send(Job::Op(number, op));
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let _ = self.jobs.send(Job::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What has happened and must be kept, whatever the disk says now.
fn must_be_kept(op: &Op) -> bool {
    matches!(
        op,
        Op::CompleteCall(..)
            | Op::FinishAttempt(..)
            | Op::ClearSent(_)
            | Op::RevokeCall(..)
            | Op::PurgeEndpoint(..)
            | Op::Publish(_)
            | Op::AppendLog(_)
            | Op::ApplyToShard(..)
            | Op::InstallShard(..)
            | Op::AcceptDamage(_)
            | Op::BecomePrimary(_)
            | Op::ResignPrimary(_)
            | Op::RegisterDisk(..)
    )
}

struct Room {
    disk: Option<Disk>,
    opener: StoreOpener,
    answered: ReplyHandler,
    /// What waits for the disk.
    kept: VecDeque<(u64, Op)>,
    clock: Clock,
    jobs: Sender<Job>,
}

/// The number under which nobody waits for an answer.
const NOBODY: u64 = 0;

impl Room {
    fn run(mut self, waits: &Receiver<Job>) {
        let mut stopping = false;
        while !stopping {
            let first = if self.disk.is_some() {
                match waits.recv() {
                    Ok(job) => Some(job),
                    Err(_) => return,
                }
            } else {
                match waits.recv_timeout(AGAIN) {
                    Ok(job) => Some(job),
                    Err(RecvTimeoutError::Timeout) => None,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            };
            let mut batch = Vec::new();
            for job in first.into_iter().chain(waits.try_iter()).take(MOST_OPS) {
                match job {
                    Job::Op(number, Op::VerifyChecksums) => self.verify(number),
                    Job::Op(number, op) => batch.push((number, op)),
                    Job::Read(number, reply) => (self.answered)(number, reply),
                    Job::Stop => stopping = true,
                }
            }
            if self.disk.is_none() {
                self.reopen();
            }
            self.commit(batch);
        }
    }

    /// Counts what the disk holds beside this thread, so that nobody's commit waits for it.
    fn verify(&mut self, number: u64) {
        let Some(disk) = &self.disk else {
            return (self.answered)(number, Err(StoreError::Io("closed".into())));
        };
        let (reader, jobs) = (disk.reader(), self.jobs.clone());
        let read = move || {
            // The thread is gone only at the end of the process.
            let _ = jobs.send(Job::Read(number, reader.verify().map(Reply::Verified)));
        };
        if let Err(e) = std::thread::Builder::new()
            .name("verify".into())
            .spawn(read)
        {
            (self.answered)(number, Err(StoreError::Io(e.to_string())));
        }
    }

    fn reopen(&mut self) {
        match (self.opener)() {
            Ok(disk) => {
                tracing::info!("the store is open again");
                self.disk = Some(disk);
                let kept: Vec<_> = self.kept.drain(..).collect();
                self.commit(kept);
            }
            Err(e) => tracing::debug!("the store stays closed: {e}"),
        }
    }

    fn commit(&mut self, batch: Vec<(u64, Op)>) {
        if batch.is_empty() {
            return;
        }
        let Some(disk) = &mut self.disk else {
            return self.fail(batch, &StoreError::Io("closed".into()));
        };
        let now = self.clock.now();
        match disk.commit(batch.iter().map(|(_, op)| op.clone()), now) {
            Ok(replies) => {
                for ((number, _), reply) in batch.into_iter().zip(replies) {
                    if number != NOBODY {
                        (self.answered)(number, reply);
                    }
                }
            }
            Err(e) => {
                tracing::error!(
                    "the store has failed; nothing new is taken until it is open again: {e}"
                );
                self.disk = None;
                self.fail(batch, &e);
            }
        }
    }

    /// A commit that failed may still have reached the disk: what was told an error is undone once it is open.
    fn fail(&mut self, batch: Vec<(u64, Op)>, e: &StoreError) {
        for (number, op) in batch {
            match &op {
                op if must_be_kept(op) => {
                    self.kept.push_back((number, op.clone()));
                    continue;
                }
                Op::AcceptCall(call, mark, _) => self
                    .kept
                    .push_back((NOBODY, Op::RevokeCall(call.seq, *mark))),
                // That an attempt began and did not errs on the safe side; the attempt's end corrects it.
                Op::MarkSent(seq, _) => self.kept.push_back((NOBODY, Op::ClearSent(*seq))),
                _ => {}
            }
            (self.answered)(number, Err(e.clone()));
        }
    }
}
