//! A store file as text: one line per row with the table, the key in hex and the value in hex.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};

use crate::pins::{from_hex, to_hex};

type Definition<'a> = TableDefinition<'a, &'static [u8], &'static [u8]>;

/// A row of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub table: String,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

/// A temporary file, removed on drop.
pub struct Scratch(PathBuf);

impl Scratch {
    /// Returns a path that no other test uses.
    pub fn new() -> Scratch {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        Scratch(
            std::env::temp_dir().join(format!("molelug-stored-{}-{number}", std::process::id())),
        )
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Reads all rows of a file that no process has open, sorted by table and key.
pub fn rows(path: &Path) -> Vec<Row> {
    let database = Database::open(path).expect("the file opens");
    let read = database.begin_read().expect("it can be read");
    let mut names: Vec<String> = read
        .list_tables()
        .expect("the store has tables")
        .map(|table| table.name().to_owned())
        .collect();
    names.sort();
    let mut rows = Vec::new();
    for name in names {
        let table = read
            .open_table(Definition::new(&name))
            .expect("a table of bytes");
        for pair in table.iter().expect("a table's rows") {
            let (key, value) = pair.expect("a row");
            rows.push(Row {
                table: name.clone(),
                key: key.value().to_vec(),
                value: value.value().to_vec(),
            });
        }
    }
    rows
}

/// Creates a store file with these rows.
pub fn file_of(rows: &[Row]) -> Scratch {
    let file = Scratch::new();
    let database = Database::create(file.path()).expect("the file is created");
    let write = database.begin_write().expect("the store can be written");
    for row in rows {
        let mut table = write
            .open_table(Definition::new(&row.table))
            .expect("a table of bytes");
        table.insert(&row.key[..], &row.value[..]).expect("a row");
    }
    write.commit().expect("the commit succeeds");
    file
}

/// Formats rows as text.
pub fn to_text(rows: &[Row]) -> String {
    rows.iter()
        .map(|row| {
            format!(
                "{} {} {}\n",
                row.table,
                to_hex(&row.key),
                to_hex(&row.value)
            )
        })
        .collect()
}

/// Parses rows from text.
pub fn from_text(text: &str) -> Vec<Row> {
    let row = |line: &str| {
        let mut parts = line.split(' ');
        let mut next = || parts.next().expect("a table, a key and a value");
        Row {
            table: next().to_owned(),
            key: from_hex(next()),
            value: from_hex(next()),
        }
    };
    text.lines().map(row).collect()
}
