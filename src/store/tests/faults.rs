//! The store on a disk that fails, tears writes, or loses unsynced data.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

use redb::backends::InMemoryBackend;
use redb::StorageBackend;

use super::{accept, complete, identity, message, MAX_BYTES};
use crate::api::Effect;
use crate::delivery::Seq;
use crate::store::disk::Disk;
use crate::store::error::StoreError;
use crate::store::operations::{Op, Reply};
use crate::store::records::TenantsRecord;
use crate::store::writer::Writer;

const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// A disk that can fail, lose unsynced data, or tear the write at which it fails.
#[derive(Clone, Debug, Default)]
struct FaultyDisk {
    synced: Arc<Mutex<Vec<u8>>>,
    /// All written data, synced or not.
    cache: Arc<InMemoryBackend>,
    /// The number of changes that succeed before the disk fails.
    remaining_changes: Arc<AtomicU64>,
    tears_writes: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
}

impl FaultyDisk {
    fn new(remaining_changes: u64, tears_writes: bool) -> FaultyDisk {
        let disk = FaultyDisk::default();
        disk.remaining_changes
            .store(remaining_changes, Ordering::SeqCst);
        disk.tears_writes.store(tears_writes, Ordering::SeqCst);
        disk
    }

    fn count_change(&self) -> std::io::Result<()> {
        let left = self.remaining_changes.load(Ordering::SeqCst);
        if left == 0 {
            self.failed.store(true, Ordering::SeqCst);
            return Err(std::io::Error::other("no space left on device"));
        }
        self.remaining_changes.store(left - 1, Ordering::SeqCst);
        Ok(())
    }

    /// Returns the state after a crash: a healthy disk with the synced data, including the first
    /// half of a torn write.
    fn after_crash(&self) -> FaultyDisk {
        let bytes = self.synced.lock().unwrap().clone();
        let healthy = FaultyDisk::new(u64::MAX, false);
        healthy.cache.set_len(bytes.len() as u64).unwrap();
        healthy.cache.write(0, &bytes).unwrap();
        *healthy.synced.lock().unwrap() = bytes;
        healthy
    }

    /// Syncs the first half of a write.
    fn tear(&self, offset: u64, data: &[u8]) {
        let mut synced = self.synced.lock().unwrap();
        let (start, half) = (offset as usize, data.len() / 2);
        if synced.len() >= start + half {
            synced[start..start + half].copy_from_slice(&data[..half]);
        }
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> std::io::Result<u64> {
        self.cache.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.cache.read(offset, out)
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.count_change()?;
        self.cache.set_len(len)
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.count_change()?;
        let mut bytes = vec![0; self.cache.len()? as usize];
        self.cache.read(0, &mut bytes)?;
        *self.synced.lock().unwrap() = bytes;
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        if let Err(error) = self.count_change() {
            if self.tears_writes.load(Ordering::SeqCst) {
                self.tear(offset, data);
            }
            return Err(error);
        }
        self.cache.write(offset, data)
    }
}

/// Commits up to six calls until the disk fails, and returns the confirmed calls.
fn commit_calls(disk: &mut Disk) -> Vec<u64> {
    let mut confirmed = Vec::new();
    for seq in 1..=6 {
        let accept = accept(seq, Effect::NonIdempotent, 300);
        match disk.commit([accept, Op::SetSent(Seq(seq), 5)], seq) {
            Ok(_) => confirmed.push(seq),
            Err(error) => {
                assert!(matches!(error, StoreError::Io(_)), "{error}");
                break;
            }
        }
    }
    confirmed
}

/// Lets the disk fail at each change in turn: the file can be opened after the crash, and has all
/// confirmed calls. A call whose commit failed may be present, and [`Op::RevokeCall`] removes it.
#[test]
fn confirmed_commits_survive_failure_of_any_write() {
    for tears_writes in [false, true] {
        let mut failure_points = 0;
        for changes in 1..2000 {
            let faulty = FaultyDisk::new(changes, tears_writes);
            let Ok((mut disk, _)) = Disk::open_backend(faulty.clone(), MAX_BYTES, 1) else {
                continue;
            };
            let confirmed = commit_calls(&mut disk);
            let failed = faulty.failed.load(Ordering::SeqCst);
            failure_points += usize::from(failed);
            assert!(
                failed || confirmed.len() == 6,
                "an error that the disk did not give"
            );
            drop(disk);
            let (mut disk, recovered) =
                Disk::open_backend(faulty.after_crash(), MAX_BYTES, 9).expect("the file opens");
            let found: Vec<u64> = recovered.calls.iter().map(|call| call.seq.0).collect();
            assert!(
                found.starts_with(&confirmed) && found.len() <= confirmed.len() + 1,
                "{changes}: {confirmed:?} {found:?}"
            );
            assert!(
                recovered.calls.iter().all(|call| call.sent == Some(5)),
                "a commit is atomic"
            );
            let next = confirmed.len() as u64 + 1;
            disk.commit([Op::RevokeCall(Seq(next), identity(next))], 10)
                .unwrap();
            assert_eq!(disk.commit([Op::Stats], 10).unwrap().len(), 1);
            if !failed {
                break;
            }
        }
        assert!(failure_points > 20, "only {failure_points} failure points");
    }
}

/// No call is accepted while the disk fails. Once the disk is repaired, deferred operations are
/// persisted, and operations that were answered with an error are reverted.
#[test]
fn writer_loses_no_confirmed_operation_when_disk_fails() {
    let faulty = FaultyDisk::new(u64::MAX, false);
    let (disk, _) = Disk::open_backend(faulty.clone(), MAX_BYTES, 1).unwrap();
    let (sender, replies) = mpsc::channel();
    let (backend, repaired) = (faulty.clone(), Arc::new(AtomicBool::new(false)));
    let is_repaired = repaired.clone();
    let opener = move || match is_repaired.load(Ordering::SeqCst) {
        true => Disk::open_backend(backend.after_crash(), MAX_BYTES, 2).map(|(disk, _)| disk),
        false => Err(StoreError::Io("still faulty".into())),
    };
    let reply_handler = move |number, reply| sender.send((number, reply)).unwrap();
    let writer = Writer::start(disk, Box::new(opener), Box::new(reply_handler)).unwrap();
    let next_reply = || replies.recv_timeout(REPLY_TIMEOUT).unwrap();

    writer.submit(1, accept(1, Effect::NonIdempotent, 300));
    assert_eq!(next_reply(), (1, Ok(Reply::Done)));

    faulty.remaining_changes.store(0, Ordering::SeqCst);
    writer.submit(2, accept(2, Effect::Idempotent, 300));
    assert!(matches!(next_reply(), (2, Err(StoreError::Io(_)))));
    let callback = message(7, 0, Effect::NonIdempotent, None);
    writer.submit(3, complete(1, vec![callback]));
    writer.submit(4, accept(3, Effect::Idempotent, 300));
    assert!(
        matches!(next_reply(), (4, Err(StoreError::Io(_)))),
        "nothing new is accepted, and the completion is deferred"
    );

    repaired.store(true, Ordering::SeqCst);
    let (number, reply) = next_reply();
    assert!(number == 3 && matches!(reply, Ok(Reply::Queued(queued)) if queued.len() == 1));
    writer.submit(5, Op::Stats);
    let (_, Ok(Reply::Stats(stats))) = next_reply() else {
        panic!()
    };
    assert_eq!(
        (stats.calls, stats.messages, stats.waiting),
        (0, 1, 1),
        "calls 2 and 3 are reverted, call 1 is complete"
    );
}

fn tenants(text: &str) -> Op {
    Op::StoreTenants(TenantsRecord(text.into()))
}

/// Lets the disk fail at each change in turn: a call that is found has the tenants that were stored
/// before it beside it, or later ones.
#[test]
fn stored_call_has_its_tenants_after_failure_of_any_write() {
    for tears_writes in [false, true] {
        for changes in 1..2000 {
            let faulty = FaultyDisk::new(changes, tears_writes);
            let Ok((mut disk, _)) = Disk::open_backend(faulty.clone(), MAX_BYTES, 1) else {
                continue;
            };
            let steps = [
                vec![tenants("1"), accept(1, Effect::Idempotent, 300)],
                vec![tenants("2")],
                vec![accept(2, Effect::Idempotent, 300)],
            ];
            let _ = steps
                .into_iter()
                .try_for_each(|ops| disk.commit(ops, 5).map(drop));
            let failed = faulty.failed.load(Ordering::SeqCst);
            drop(disk);
            let (_, recovered) =
                Disk::open_backend(faulty.after_crash(), MAX_BYTES, 9).expect("the file opens");
            let stored = recovered
                .tenants
                .map_or(0, |tenants| tenants.0.parse().unwrap());
            let last_call = recovered.calls.last().map_or(0, |call| call.seq.0);
            assert!(
                stored >= last_call,
                "{changes}: call {last_call}, tenants {stored}"
            );
            if !failed {
                assert_eq!((stored, last_call), (2, 2));
                break;
            }
        }
    }
}

/// Tenants that are changed while the disk fails do not pile up, and are stored before the calls
/// that follow.
#[test]
fn writer_keeps_newest_tenants_while_disk_fails() {
    let faulty = FaultyDisk::new(u64::MAX, false);
    let (disk, _) = Disk::open_backend(faulty.clone(), MAX_BYTES, 1).unwrap();
    let (sender, replies) = mpsc::channel();
    let repaired = Arc::new(AtomicBool::new(false));
    let is_repaired = repaired.clone();
    let name = format!("molelug-store-tenants-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let other_path = path.clone();
    let opener = move || match is_repaired.load(Ordering::SeqCst) {
        true => Disk::open(&other_path, MAX_BYTES, 2).map(|(disk, _)| disk),
        false => Err(StoreError::Io("still faulty".into())),
    };
    let reply_handler = move |number, reply| sender.send((number, reply)).unwrap();
    let writer = Writer::start(disk, Box::new(opener), Box::new(reply_handler)).unwrap();
    let next_reply = || replies.recv_timeout(REPLY_TIMEOUT).unwrap();

    faulty.remaining_changes.store(0, Ordering::SeqCst);
    for number in 1..=3 {
        writer.submit(number, tenants(&number.to_string()));
    }
    assert_eq!(next_reply(), (1, Ok(Reply::Done)), "replaced by the second");
    assert_eq!(next_reply(), (2, Ok(Reply::Done)), "replaced by the third");
    repaired.store(true, Ordering::SeqCst);
    assert_eq!(next_reply(), (3, Ok(Reply::Done)));
    writer.submit(4, accept(1, Effect::Idempotent, 300));
    assert_eq!(next_reply(), (4, Ok(Reply::Done)));
    drop(writer);
    let (_, recovered) = Disk::open(&path, MAX_BYTES, 9).unwrap();
    assert_eq!(recovered.tenants, Some(TenantsRecord("3".into())));
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn foreign_or_locked_file_stays_unchanged() {
    let folder = std::env::temp_dir().join(format!("molelug-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("store");
    std::fs::write(&path, "a letter, not a store").unwrap();
    assert!(matches!(
        Disk::open(&path, MAX_BYTES, 0),
        Err(StoreError::NotAStore(_))
    ));
    assert_eq!(std::fs::read(&path).unwrap(), b"a letter, not a store");
    std::fs::remove_file(&path).unwrap();
    let (open, _) = Disk::open(&path, MAX_BYTES, 0).unwrap();
    assert_eq!(
        Disk::open(&path, MAX_BYTES, 0).unwrap_err(),
        StoreError::Locked
    );
    drop(open);
    assert!(Disk::open(&path, MAX_BYTES, 0).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}
