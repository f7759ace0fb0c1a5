//! Compares the formats of stored data, and of data that processes pass to one another, with files
//! from an earlier build: the code must read the files and write the same bytes. The files are in
//! `fixtures/stored`; `fixtures/README.md` describes them.

#[path = "stored_data/agreed_log.rs"]
mod agreed_log;
#[path = "common/fixture.rs"]
mod fixture;
#[path = "stored_data/histories.rs"]
mod histories;
#[path = "stored_data/pins.rs"]
mod pins;
#[path = "stored_data/store_files.rs"]
mod store_files;
#[path = "stored_data/store_records.rs"]
mod store_records;
#[path = "stored_data/store_rows.rs"]
mod store_rows;
#[path = "stored_data/texts.rs"]
mod texts;
