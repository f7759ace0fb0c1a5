//! Where a subsystem's notes go, for a checker apart from the program: a line each, with the process's name and number.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;

/// A history; none is written if there is no file.
#[derive(Debug, Default)]
pub(super) struct History {
    file: Option<File>,
    name: Option<Arc<str>>,
    process: u64,
}

impl History {
    /// Appends to a file beside the council's.
    pub(super) fn beside(
        council: Option<&Path>,
        what: &str,
        name: &Arc<str>,
        process: u64,
    ) -> std::io::Result<History> {
        let open = |p: &Path| {
            File::options()
                .create(true)
                .append(true)
                .open(p.with_extension(what))
        };
        Ok(History {
            file: council.map(open).transpose()?,
            name: Some(name.clone()),
            process,
        })
    }

    /// Writes a note in one write, which a kill does not cut. A history that cannot be written is a worse check and no reason
    /// to stop.
    pub(super) fn record(&mut self, note: &impl Serialize) {
        let Some(file) = &mut self.file else { return };
        let line = serde_json::json!({ "name": self.name, "process": self.process, "note": note });
        if let Err(e) = file.write_all(format!("{line}\n").as_bytes()) {
            tracing::warn!("a history is not written any more: {e}");
            self.file = None;
        }
    }
}

#[cfg(test)]
mod fixture_tests;
