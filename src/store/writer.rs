//! The writer thread, which commits operations in batches and passes on the replies.
//!
//! After an error no operation of the batch counts as durable. Operations that the caller can
//! repeat, or that must not take effect unless they are durable, are answered with the error.
//! Operations that record past events are queued in order until the file is reopened. The queue is
//! bounded by the operations in progress when the disk failed, because nothing new is accepted
//! until then.

use std::collections::VecDeque;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use super::disk::Disk;
use super::error::StoreError;
use super::operations::{Op, Reply};
use crate::clock::Clock;

/// The maximum number of operations in one commit.
const MAX_BATCH_OPS: usize = 512;
/// The interval between attempts to reopen the file after an error.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// The number of an operation whose reply is discarded.
const NO_REPLY: u64 = 0;

/// Reopens the store after an error.
pub type StoreOpener = Box<dyn FnMut() -> Result<Disk, StoreError> + Send>;
/// Receives each reply with the number of its operation.
pub type ReplyHandler = Box<dyn FnMut(u64, Result<Reply, StoreError>) + Send>;

enum Job {
    Op(u64, Op),
    /// The result of a read on another thread.
    ReadDone(u64, Result<Reply, StoreError>),
    Stop,
}

/// The handle of the writer thread. Dropping the handle executes the submitted operations and stops
/// the thread.
#[derive(Debug)]
pub struct Writer {
    jobs: Sender<Job>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread over an open store.
    pub fn start(
        disk: Disk,
        opener: StoreOpener,
        reply_handler: ReplyHandler,
    ) -> std::io::Result<Writer> {
        let (jobs, receiver) = mpsc::channel();
        let writer_thread = WriterThread {
            disk: Some(disk),
            opener,
            reply_handler,
            deferred: VecDeque::new(),
            clock: Clock::system(),
            jobs: jobs.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("store".into())
            .spawn(move || writer_thread.run(&receiver))?;
        Ok(Writer {
            jobs,
            thread: Some(thread),
        })
    }

    /// Submits an operation. The reply handler receives `number` together with the reply.
    pub fn submit(&self, number: u64, op: Op) {
        // The thread has ended only when the process exits; the reply is not needed then.
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

/// Returns whether an operation must eventually become durable, because it records an event that
/// has already happened.
fn must_become_durable(op: &Op) -> bool {
    matches!(
        op,
        Op::CompleteCall(_)
            | Op::FinishAttempt(_)
            | Op::ClearSent(_)
            | Op::RevokeCall(..)
            | Op::PurgeEndpoint(..)
            | Op::Publish(_)
            | Op::AppendLog(_)
            | Op::ApplyToShard(_)
            | Op::InstallShard(_)
            | Op::AcceptDamage(_)
            | Op::BecomePrimary(_)
            | Op::ResignPrimary(_)
            | Op::RegisterDisk(_)
            | Op::StoreTenants(_)
    )
}

/// Returns the operation that reverts a failed operation, because a failed commit may still have
/// reached the disk.
fn compensation(op: &Op) -> Option<Op> {
    match op {
        Op::AcceptCall(accept) => Some(Op::RevokeCall(accept.call.seq, accept.identity)),
        // A recorded start of an attempt that was not sent is safe; the end of an attempt corrects
        // the record.
        Op::SetSent(seq, _) => Some(Op::ClearSent(*seq)),
        _ => None,
    }
}

struct WriterThread {
    /// The open store; none from an error until the store is reopened.
    disk: Option<Disk>,
    opener: StoreOpener,
    reply_handler: ReplyHandler,
    /// Operations to commit once the store is reopened.
    deferred: VecDeque<(u64, Op)>,
    clock: Clock,
    jobs: Sender<Job>,
}

impl WriterThread {
    fn run(mut self, receiver: &Receiver<Job>) {
        let mut stopping = false;
        while !stopping {
            let Ok(first) = self.wait(receiver) else {
                return;
            };
            let mut batch = Vec::new();
            let jobs = first.into_iter().chain(receiver.try_iter());
            for job in jobs.take(MAX_BATCH_OPS) {
                match job {
                    Job::Op(number, Op::VerifyChecksums) => self.verify_checksums(number),
                    Job::Op(number, op) => batch.push((number, op)),
                    Job::ReadDone(number, reply) => (self.reply_handler)(number, reply),
                    Job::Stop => stopping = true,
                }
            }
            if self.disk.is_none() {
                self.reopen();
            }
            self.commit(batch);
        }
    }

    /// Waits for a job. If the store is closed, returns after [`REOPEN_INTERVAL`] at the latest.
    fn wait(&self, receiver: &Receiver<Job>) -> Result<Option<Job>, mpsc::RecvError> {
        if self.disk.is_some() {
            return receiver.recv().map(Some);
        }
        match receiver.recv_timeout(REOPEN_INTERVAL) {
            Ok(job) => Ok(Some(job)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(mpsc::RecvError),
        }
    }

    /// Verifies checksums on a separate thread, so that commits do not wait for the verification.
    fn verify_checksums(&mut self, number: u64) {
        let Some(disk) = &self.disk else {
            return (self.reply_handler)(number, Err(closed_error()));
        };
        let (reader, jobs) = (disk.reader(), self.jobs.clone());
        let verify = move || {
            let reply = reader.verify().map(Reply::Verified);
            // The receiver is dropped only when the process exits.
            let _ = jobs.send(Job::ReadDone(number, reply));
        };
        let spawned = std::thread::Builder::new()
            .name("verify".into())
            .spawn(verify);
        if let Err(error) = spawned {
            (self.reply_handler)(number, Err(StoreError::Io(error.to_string())));
        }
    }

    fn reopen(&mut self) {
        match (self.opener)() {
            Ok(disk) => {
                tracing::info!(deferred = self.deferred.len(), "the store is open again");
                self.disk = Some(disk);
                let deferred: Vec<_> = self.deferred.drain(..).collect();
                self.commit(deferred);
            }
            Err(error) => tracing::debug!(%error, "the store cannot be opened again"),
        }
    }

    fn commit(&mut self, batch: Vec<(u64, Op)>) {
        if batch.is_empty() {
            return;
        }
        let Some(disk) = &mut self.disk else {
            return self.fail(batch, &closed_error());
        };
        let now = self.clock.now();
        match disk.commit(batch.iter().map(|(_, op)| op.clone()), now) {
            Ok(replies) => {
                for ((number, _), reply) in batch.into_iter().zip(replies) {
                    if number != NO_REPLY {
                        (self.reply_handler)(number, reply);
                    }
                }
            }
            Err(error) => {
                tracing::error!(
                    %error,
                    "the store has failed; nothing new is accepted until it is open again"
                );
                self.disk = None;
                self.fail(batch, &error);
            }
        }
    }

    /// Drops the deferred tenants, which later ones replace: administrators may change tenants while
    /// the store is closed.
    fn drop_deferred_tenants(&mut self) {
        let (replaced, kept) = self
            .deferred
            .drain(..)
            .partition::<VecDeque<_>, _>(|(_, op)| matches!(op, Op::StoreTenants(_)));
        self.deferred = kept;
        for (number, _) in replaced {
            (self.reply_handler)(number, Ok(Reply::Done));
        }
    }

    /// Defers the operations of a failed batch that must become durable, and answers the others
    /// with the error. Their compensations are deferred too.
    fn fail(&mut self, batch: Vec<(u64, Op)>, error: &StoreError) {
        for (number, op) in batch {
            if must_become_durable(&op) {
                if matches!(op, Op::StoreTenants(_)) {
                    self.drop_deferred_tenants();
                }
                self.deferred.push_back((number, op));
                continue;
            }
            if let Some(compensation) = compensation(&op) {
                self.deferred.push_back((NO_REPLY, compensation));
            }
            (self.reply_handler)(number, Err(error.clone()));
        }
    }
}

fn closed_error() -> StoreError {
    StoreError::Io("closed".into())
}
