//! Whole lines of histories as checkers read them; `tests/stored_data/histories.rs` has an event of
//! each kind.

use std::sync::Arc;

use super::History;
use crate::fixture;
use crate::{replication, tenancy::replicated};

const LINES: &str = "history-lines.txt";

#[test]
fn history_lines_are_written_as_before() {
    let folder = std::env::temp_dir().join(format!("molelug-history-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let council = folder.join("council.history");
    let name: Arc<str> = "n1".into();
    let mut history = History::beside(Some(&council), "copies", &name, 9001).expect("it opens");
    history.record(&replication::history::HistoryEvent::SteppedDown { shard: 3, epoch: 7 });
    history.record(&replicated::history::HistoryEvent::Told {
        tenant: "clinic".into(),
        version: 4,
    });
    let written = std::fs::read_to_string(folder.join("council.copies")).expect("text");
    std::fs::remove_dir_all(&folder).expect("it goes");
    fixture::assert_matches(LINES, &written);
}
