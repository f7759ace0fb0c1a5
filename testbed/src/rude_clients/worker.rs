//! A stand-in worker that records when each attempt arrives.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use molelug::worker::encode_array;

use super::records::Records;
use crate::fakes::gateway::NON_IDEMPOTENT_CLASS;
use crate::fakes::worker::take_command;

/// Calls that a worker runs at once; it rejects others.
const MAX_RUNNING: usize = 64;

/// A worker on which every function is loaded.
#[derive(Clone, Debug)]
pub struct RecordingWorker {
    /// Its address.
    pub address: SocketAddr,
    run_time: Duration,
    running: Arc<AtomicUsize>,
    records: Arc<Records>,
}

impl RecordingWorker {
    /// Starts a worker whose calls take `run_time`.
    pub fn start(run_time: Duration, records: Arc<Records>) -> Result<RecordingWorker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = RecordingWorker {
            address: listener.local_addr()?,
            run_time,
            running: Arc::default(),
            records,
        };
        let server = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(worker)
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut buffer, mut chunk) = (Vec::new(), [0; 64 * 1024]);
        loop {
            while let Some(words) = take_command(&mut buffer) {
                let tag = words.get(1)?.clone();
                match words.first()?.as_str() {
                    "go" => self.begin(tag, words.get(2)?, &stream)?,
                    "stage" => write(&stream, &[tag.as_bytes(), b"200", b"copies=1"])?,
                    "ping" | "stat" => write(&stream, &[tag.as_bytes(), b"alive"])?,
                    _ => {}
                }
            }
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                n => buffer.extend(&chunk[..n]),
            }
        }
    }

    /// Records an attempt, and runs or rejects it. An attempt that is rejected never ran.
    fn begin(&self, tag: String, fields: &str, stream: &TcpStream) -> Option<()> {
        if self.running.load(Ordering::Relaxed) >= MAX_RUNNING {
            return write(stream, &[tag.as_bytes(), b"503", b"-"]);
        }
        let is_unsafe = fields.contains(NON_IDEMPOTENT_CLASS);
        let identity = u64::from_str_radix(&tag, 16).ok()?;
        self.records.note_attempt(identity, is_unsafe);
        self.running.fetch_add(1, Ordering::Relaxed);
        let (worker, answer_to) = (self.clone(), stream.try_clone().ok()?);
        std::thread::spawn(move || {
            std::thread::sleep(worker.run_time);
            worker.running.fetch_sub(1, Ordering::Relaxed);
            write(&answer_to, &[tag.as_bytes(), b"200", b"remark=w", b"done"])
        });
        Some(())
    }
}

fn write(mut stream: &TcpStream, words: &[&[u8]]) -> Option<()> {
    stream.write_all(&encode_array(words)).ok()
}
