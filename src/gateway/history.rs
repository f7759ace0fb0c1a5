//! Histories of subsystems, for a separate checker: one line of JSON for each event, with the
//! process's name and number.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;

/// A subsystem's history; nothing is written if there is no file.
#[derive(Debug, Default)]
pub(super) struct History {
    file: Option<File>,
    name: Option<Arc<str>>,
    process: u64,
}

impl History {
    /// Appends to a file beside the consensus group's, with its own extension.
    ///
    /// # Errors
    ///
    /// [`std::io::Error`]: the file cannot be opened.
    pub(super) fn beside(
        consensus_file: Option<&Path>,
        extension: &str,
        name: &Arc<str>,
        process: u64,
    ) -> std::io::Result<History> {
        let open = |path: &Path| {
            File::options()
                .create(true)
                .append(true)
                .open(path.with_extension(extension))
        };
        Ok(History {
            file: consensus_file.map(open).transpose()?,
            name: Some(name.clone()),
            process,
        })
    }

    /// Writes an event in a single write, which a kill does not interrupt. If writing fails, the
    /// history ends, which weakens the check, and the process continues.
    pub(super) fn record(&mut self, event: &impl Serialize) {
        let Some(file) = &mut self.file else { return };
        let line = serde_json::json!({ "name": self.name, "process": self.process, "note": event });
        if let Err(error) = file.write_all(format!("{line}\n").as_bytes()) {
            tracing::warn!(%error, "history stopped");
            self.file = None;
        }
    }
}

#[cfg(test)]
mod fixture_tests;
